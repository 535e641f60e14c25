package listener

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"radishshed.example/radishshed/internal/memorybudgeter"
)

const (
	testWait = 5 * time.Second
)

// startLimited returns the address of a listener with room for two connections, and its limits.
func startLimited(t *testing.T) (string, *Limits) {
	t.Helper()
	limits := NewLimits(LimitsConfig{
		Budgeter: memorybudgeter.New(memorybudgeter.Config{MemoryBytes: 64 << 20}), Metrics: metrics.NewRegistry(), Log: zap.NewNop(),
	})
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := ReadBody(w, r, 8<<20)
		if err != nil {
			status, _ := BodyStatus(err)
			w.WriteHeader(status)
			return
		}
		_, _ = fmt.Fprintf(w, "%d bytes", len(body)) // fails only if the client has disconnected
	})
	l, err := Start(Config{Address: "127.0.0.1:0", Handler: handler, OnError: func(err error) { t.Error(err) }, Limits: limits, MaxConnections: 2})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l.socket.Addr().String(), limits
}

// exchange sends text on a new connection and returns the status, or 0 if the connection is
// closed without a response.
func exchange(t *testing.T, address, text string) int {
	t.Helper()
	c := open(t, address)
	defer func() { _ = c.Close() }() // the test does not depend on a clean close
	_, _ = c.Write([]byte(text))     // fails if the listener has closed the connection
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_ = response.Body.Close() // as above
	return response.StatusCode
}

func open(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	_ = c.SetDeadline(time.Now().Add(testWait)) // the test fails without it as well
	return c
}

// Guards against connections beyond the limit, and against a listener that serves nobody after
// such connections have closed, or keeps their memory reserved.
func TestConnectionsOverTheLimitAreClosed(t *testing.T) {
	address, limits := startLimited(t)
	silent := []net.Conn{open(t, address), open(t, address)}
	if status := exchange(t, address, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); status != 0 {
		t.Fatalf("status %d on a third connection", status)
	}
	for _, c := range silent {
		_ = c.Close() // as in exchange
	}
	for deadline := time.Now().Add(testWait); ; time.Sleep(10 * time.Millisecond) {
		if exchange(t, address, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n") == http.StatusOK {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("no request is served after all connections are closed")
		}
	}
	awaitReleased(t, limits)
}

func awaitReleased(t *testing.T, limits *Limits) {
	t.Helper()
	for deadline := time.Now().Add(testWait); limits.config.Budgeter.Used() != 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes stay reserved", limits.config.Budgeter.Used())
		}
	}
}

// Guards against heads and bodies that are read though no memory is left, against ordinary
// requests that are refused for them, and against memory that stays reserved afterwards.
func TestHeadsAndBodiesAreReserved(t *testing.T) {
	address, limits := startLimited(t)
	other := limits.config.Budgeter.Open()
	other.Grow(limits.config.Budgeter.Total() * 3 / 4) // the part for large holders
	manyFields := strings.Repeat("X:\r\n", 4000)
	cases := []struct {
		name, text string
		status     int
	}{
		{"ordinary request", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello", http.StatusOK},
		{"legal head", "GET / HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("x", 16000) + "\r\n\r\n", http.StatusOK},
		{"head with many fields", "GET / HTTP/1.1\r\nHost: x\r\n" + manyFields + "\r\n", 0},
		{"body with a length", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n", http.StatusServiceUnavailable},
		{"body in chunks", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n100000\r\n" + strings.Repeat("x", 1<<20), http.StatusServiceUnavailable},
	}
	for _, c := range cases {
		if status := exchange(t, address, c.text); status != c.status {
			t.Errorf("%s: status %d, want %d", c.name, status, c.status)
		}
	}
	other.Release()
	awaitReleased(t, limits)
}
