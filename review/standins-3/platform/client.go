package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// networkMSS is the segment size of an Ethernet. Loopback segments are as large as the buffers.
const networkMSS = 1460

// connectTimeout is how long clients wait for a connection.
const connectTimeout = time.Second

var attempts atomic.Int64

// newAttempt returns the identifier of a client attempt.
func newAttempt(kind string) string { return fmt.Sprintf("%s-%06d", kind, attempts.Add(1)) }

// dialSlow opens a connection whose buffers are those of a client behind an ordinary network.
func dialSlow(address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: connectTimeout, Control: func(_, _ string, c syscall.RawConn) error {
		var failure error
		err := c.Control(func(fd uintptr) {
			failure = errors.Join(
				syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, networkMSS),
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 8<<10),
			)
		})
		return errors.Join(err, failure)
	}}
	return dialer.DialContext(context.Background(), "tcp", address)
}

// head returns the head of a request.
func head(method, path, attempt string, deadline time.Duration, fields ...string) string {
	lines := []string{
		method + " " + path + " HTTP/1.1", "Host: " + testHost, "X-Attempt-Id: " + attempt,
		fmt.Sprintf("X-Deadline-Ms: %d", deadline.Milliseconds()), "Authorization: Bearer " + testKey,
	}
	return strings.Join(append(lines, fields...), "\r\n") + "\r\n\r\n"
}

// answer is what a client has received.
type answer struct {
	status    int // zero if there was none
	signature string
	body      []byte
	err       error // why the body is not whole
}

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer (%v)", a.err)
	}
	signature := a.signature
	if signature == "" {
		signature = "none"
	}
	return fmt.Sprintf("%d, signature %s, %d bytes, whole: %t", a.status, signature, len(a.body), a.err == nil)
}

// readAnswer reads the answer from a connection, or from the reader of a kept one.
func readAnswer(c io.Reader, method string) answer {
	reader, ok := c.(*bufio.Reader)
	if !ok {
		reader = bufio.NewReader(c)
	}
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }() // the connection is closed in any case
	body, err := io.ReadAll(response.Body)
	return answer{response.StatusCode, response.Header.Get("X-Response-Signature"), body, err}
}

// exchange sends a request on a new connection and reads the answer within the deadline.
func exchange(address, request, method string, deadline time.Duration) answer {
	c, err := net.DialTimeout("tcp", address, connectTimeout)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.Close() }() // nothing more is read
	if err := c.SetDeadline(time.Now().Add(deadline)); err != nil {
		return answer{err: err}
	}
	if _, err := io.WriteString(c, request); err != nil {
		return answer{err: err}
	}
	return readAnswer(c, method)
}

// sleepUntil sleeps until a time.
func sleepUntil(t time.Time) { time.Sleep(time.Until(t)) }
