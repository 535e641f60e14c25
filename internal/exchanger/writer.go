package exchanger

import (
	"bytes"
	"net"
	"net/http"
	"strconv"
	"strings"
)

const (
	headBufferBytes = 1 << 10
	// maxCopiedBytes limits the bodies that are copied behind the head of their request.
	maxCopiedBytes = 8 << 10
)

// writer writes a request while its response is being read, since a target may respond
// before it has read the complete body. The head and the body are written one after the other, so
// that memory holds only one copy of the body.
type writer struct {
	connection *connection
	data       net.Buffers
	done       chan error
}

func (w *writer) run() {
	_, err := w.data.WriteTo(w.connection)
	w.done <- err
}

// encode returns the head and the body. A small body is copied behind the head, which saves a
// write.
func (r Request) encode() net.Buffers {
	var b bytes.Buffer
	b.Grow(headBufferBytes)
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for name, values := range r.Header() {
		for _, value := range values {
			b.WriteString(name + ": " + sanitise(value) + "\r\n")
		}
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead && r.Method != http.MethodDelete {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	if len(r.Body) > maxCopiedBytes {
		return net.Buffers{b.Bytes(), r.Body}
	}
	b.Write(r.Body)
	return net.Buffers{b.Bytes()}
}

// sanitise replaces line breaks in the value of a header field, which could otherwise
// inject further fields.
func sanitise(value string) string {
	return strings.NewReplacer("\r", " ", "\n", " ").Replace(value)
}
