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
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// crashingReplicas are the replicas of the model, which crash together.
	crashingReplicas = 24
	// uploadBytes is the size of an order, and uploadReply that of the answer of which a replica
	// sends a half before it resets the connection.
	uploadBytes = 1 << 20
	uploadReply = 4000
	// resetAfter is how long after the first half of its answer a replica resets the connection.
	resetAfter   = 60 * time.Millisecond
	uploadPause  = 40 * time.Millisecond
	uploaders    = 4
	uploadTime   = 4500 * time.Millisecond
	draftPause   = 30 * time.Millisecond
	uploadWindow = 8 << 10
)

// runResetUpload lets all replicas of one service crash, after which one edge machine opens its
// connections through another one, and replicas of another service answer long uploads at once
// and reset the connection part of the way. The rule is broken if a client gets a part of such an
// answer as a complete success.
func runResetUpload(r *run) bool {
	f := newFleet(r.record, 2, 2, edgeMemoryMB)
	r.fleet = f
	for range 2 {
		f.startResettingReplica(r.trouble)
	}
	crashed := f.announceModel(r)
	f.configure(configuration(100_000_000))
	for _, m := range f.edges {
		f.awaitReady(m)
	}
	time.Sleep(2 * heartbeatInterval) // until the replicas are known
	if r.trouble {
		r.note("platform: all replicas of the model crash")
		close(crashed)
	}
	address := f.frontend(f.edges[0])
	var running sync.WaitGroup
	var broken, whole, failed atomic.Int64
	until := time.Now().Add(uploadTime)
	running.Go(func() {
		for time.Now().Before(until) {
			attempt := newAttempt("draft")
			request := head("POST", "/draft/jar", attempt, 3*time.Second, "X-Model: m", "X-Token-Usage: 800,60", "Content-Length: 0")
			if r.trouble {
				r.note("client: %s: %v", attempt, exchange(address, request, "POST", 3*time.Second))
			}
			time.Sleep(draftPause)
		}
	})
	for range uploaders {
		running.Go(func() {
			for ; time.Now().Before(until); time.Sleep(uploadPause) {
				attempt := newAttempt("order")
				a := sendUpload(address, attempt)
				r.note("client: %s: %v", attempt, a)
				switch {
				case a.status == 200 && a.err == nil && len(a.body) < uploadReply:
					broken.Add(1)
					r.note("judge: %s got %d of %d bytes as a complete success", attempt, len(a.body), uploadReply)
				case a.status == 200 && a.err == nil:
					whole.Add(1)
				default:
					failed.Add(1)
				}
			}
		})
	}
	running.Wait()
	r.note("judge: %d clients got a part of an answer as a complete success, %d got a whole answer, %d a failure", broken.Load(), whole.Load(), failed.Load())
	return broken.Load() > 0
}

// sendUpload sends a long order and reads the answer meanwhile.
func sendUpload(address, attempt string) answer {
	c, err := net.DialTimeout("tcp", address, connectTimeout)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.Close() }() // nothing more is read
	if err := c.SetDeadline(time.Now().Add(4 * time.Second)); err != nil {
		return answer{err: err}
	}
	go func() {
		request := head("POST", "/order/kit", attempt, 3*time.Second, fmt.Sprintf("Content-Length: %d", uploadBytes))
		_, _ = io.WriteString(c, request+strings.Repeat("x", uploadBytes)) // the answer tells what became of it
	}()
	return readAnswer(c, "POST")
}

// announceModel announces the replicas of the model until the channel is closed. Nothing listens
// at their addresses: until then, no request is sent to them.
func (f *fleet) announceModel(r *run) chan struct{} {
	crashed := make(chan struct{})
	for i := range crashingReplicas {
		m := &replica{
			record: r.record, fleet: f, id: fmt.Sprintf("i-engine-%d", i), service: "engine", capacity: 64,
			address: f.address(f.network.ip(200+i), f.ports.replica), bornMillis: time.Now().UnixMilli(), stopped: crashed,
		}
		go m.announce()
	}
	return crashed
}

// startResettingReplica starts a replica of the shop. If it is in trouble, it answers at once, with
// an answer that has no length, while it has read only the head of the request, and resets the
// connection part of the way.
func (f *fleet) startResettingReplica(trouble bool) {
	r := f.newReplica("shop", 64, orderBytes)
	listener, err := narrowListener(r.address)
	if err != nil {
		fail("%v", err)
	}
	r.listener = listener
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return // the case is over
			}
			go r.answerUpload(c, trouble)
		}
	}()
	go r.announce()
}

func (r *replica) answerUpload(c net.Conn, trouble bool) {
	defer func() { _ = c.Close() }() // nothing more is sent
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	attempt := request.Header.Get("X-Attempt-Id")
	r.note("replica: %s runs %s", r.id, attempt)
	if !trouble {
		_, _ = io.Copy(io.Discard, request.Body) // the answer follows in any case
	}
	body := strings.Repeat("k", uploadReply)
	begin := "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Response-Signature: 3e1b.07.5a2." + attempt + "\r\nConnection: close\r\n\r\n"
	if !trouble {
		_, _ = io.WriteString(c, begin+body) // the end of the connection is that of the answer
		return
	}
	_, _ = io.WriteString(c, begin+body[:uploadReply/2]) // reset below
	time.Sleep(resetAfter)
	if socket, ok := c.(*net.TCPConn); ok {
		_ = socket.SetLinger(0) // the close is a reset
	}
	r.note("replica: %s resets the connection of %s, in the middle of its answer", r.id, attempt)
}

// narrowListener listens at an address with the segments and the window of an ordinary network.
func narrowListener(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var failure error
		err := c.Control(func(fd uintptr) {
			failure = errors.Join(
				syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, networkMSS),
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, uploadWindow),
			)
		})
		return errors.Join(err, failure)
	}}
	return config.Listen(context.Background(), "tcp", address)
}
