package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	host = "ficu95.example"
	key  = "n2ctnfzs989anu6wsjnb"
)

// exchange is what a client saw of one attempt.
type exchange struct {
	id       string
	sentAt   time.Time // last byte of the request
	endedAt  time.Time
	status   int // zero if no answer began
	body     string
	complete bool // whether the answer came to its end
	closes   bool // whether the answer announced the end of the connection
	err      error
}

// connection is a client's connection to a router.
type connection struct {
	socket net.Conn
	reader *bufio.Reader
}

func dial(ip string) (*connection, error) {
	socket, err := net.DialTimeout("tcp", addr(ip, frontPort), time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{socket, bufio.NewReader(socket)}, nil
}

func (c *connection) close() { _ = c.socket.Close() }

// send sends one request and reads the whole answer.
func (c *connection) send(method, path, id string, deadline time.Duration, header map[string]string, body string) exchange {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n",
		method, path, host, id, deadline.Milliseconds(), key)
	for name, value := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if body != "" || method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	e := exchange{id: id}
	_ = c.socket.SetDeadline(time.Now().Add(deadline))
	_, e.err = io.WriteString(c.socket, b.String())
	e.sentAt = time.Now()
	if e.err == nil {
		e.read(c.reader, method)
	}
	e.endedAt = time.Now()
	return e
}

func (e *exchange) read(reader *bufio.Reader, method string) {
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		e.err = err
		return
	}
	e.status, e.closes = response.StatusCode, response.Close
	body, err := io.ReadAll(response.Body)
	e.body, e.err, e.complete = string(body), err, err == nil
}

func route(name, path, kind string, timeout, objective, gap, attempts int, service string, resumable bool) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path_prefix": path, "route_type": kind, "timeout_ms": timeout, "target_latency_ms": objective,
		"priority": 1, "service": service, "max_attempts": attempts, "anonymous": false, "session_affinity": kind == "streaming",
		"stream_resumption": resumable, "target_itl_ms": gap,
	}
}

func configuration(version int, prepaid int64, routes ...map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes,
		"services": []any{
			map[string]any{"name": "llm", "health_check_path": "/healthz", "max_connections": 863, "protocol": "h1", "tls": false,
				"backend": map[string]any{"capacity": 64, "kv_capacity_tokens": 584028, "kv_bytes": 163840, "interval": 6, "models": []any{map[string]any{"name": "m"}}}},
			map[string]any{"name": "app", "health_check_path": "/healthz", "max_connections": 257, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": []string{key}, "priority": 1, "prepaid": prepaid}},
	}
}
