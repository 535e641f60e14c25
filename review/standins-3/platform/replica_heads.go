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
	// longHeadBytes is what a replica in trouble sends at once, in short fields. After that it
	// sends a field every longHeadInterval, without end, until the gateway closes.
	longHeadBytes    = 60_000
	longHeadInterval = 200 * time.Millisecond
	// fieldDigits are the digits of the names of the fields.
	fieldDigits = "abcdefghijklmnopqrstuvwxyz0123456789"
)

// startTroubledReplica starts a replica that announces itself like a sound one and answers each
// request with bytes that are no answer: a head without end.
func (f *fleet) startTroubledReplica(service string, capacity int) {
	r := f.newReplica(service, capacity, 0)
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		fail("%v", err)
	}
	r.listener = listener
	go r.acceptTroubled(listener)
	go r.announce()
}

func (r *replica) acceptTroubled(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return // the case is over
		}
		go r.sendHead(c)
	}
}

// sendHead reads a request and sends a head without end.
func (r *replica) sendHead(c net.Conn) {
	defer func() { _ = c.Close() }() // nothing more is sent
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	attempt := request.Header.Get("X-Attempt-Id")
	r.note("replica: %s in trouble gets %s", r.id, attempt)
	var head strings.Builder
	head.WriteString("HTTP/1.1 200 OK\r\n")
	field := 0
	for ; head.Len() < longHeadBytes; field++ {
		head.WriteString(fieldLine(field))
	}
	if _, err := io.WriteString(c, head.String()); err != nil {
		return
	}
	for ; ; field++ {
		time.Sleep(longHeadInterval)
		if _, err := io.WriteString(c, fieldLine(field)); err != nil {
			r.note("replica: %s in trouble: the gateway has closed the connection of %s", r.id, attempt)
			return
		}
	}
}

// fieldLine returns a field with a short name that no other one of the same head has.
func fieldLine(n int) string {
	base := len(fieldDigits)
	return fmt.Sprintf("%c%c%c:\r\n", fieldDigits[n/base/base%base], fieldDigits[n/base%base], fieldDigits[n%base])
}
