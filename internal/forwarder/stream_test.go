package forwarder_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/pkg/errors"

	"radishshed.example/radishshed/internal/forwarder"
)

// engine is a target that keeps a record of the requests that it has run, if it has any.
type engine struct {
	software string
	records  bool
}

func (e engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet && !e.records {
		w.WriteHeader(http.StatusNotFound) // it has not run the request
		return
	}
	w.Header().Set(forwarder.RequestIDHeader, "request-1")
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = fmt.Fprintf(w, "data: %s\n\n", e.software) // fails only if the router has disconnected
	w.(http.Flusher).Flush()
	panic(http.ErrAbortHandler)
}

// Guards against a stream that goes on at the address of the engine that began it, where
// another one serves now, perhaps of another version (ORDER): a stream is resumed from the
// record that the engine keeps of the run, and there is none.
func TestStreamIsNotResumedAtAReplacement(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	original := &http.Server{Handler: engine{software: "v1"}}
	go func() { _ = original.Serve(listener) }()
	f := forwarder.New(forwarder.Config{})
	response, failure := f.Send(context.Background(), forwarder.Request{ID: "request-1", Address: address, Method: http.MethodPost, Path: "/v1/chat/completions"})
	if failure != nil {
		t.Fatal(failure)
	}
	if err := original.Close(); err != nil {
		t.Fatal(err)
	}
	if listener, err = net.Listen("tcp", address); err != nil {
		t.Fatal(err)
	}
	replacement := &http.Server{Handler: engine{software: "v2"}}
	go func() { _ = replacement.Serve(listener) }()
	defer func() { _ = replacement.Close() }() // the test is over
	stream := f.NewStream(context.Background(), address, "request-1", response)
	defer stream.Close()
	var events []string
	for {
		event, err := stream.Next()
		if err != nil {
			if !errors.Is(err, forwarder.ErrIncompleteStream) {
				t.Errorf("the stream ended with %v", err)
			}
			break
		}
		events = append(events, string(event))
	}
	if len(events) != 1 || events[0] != "v1" {
		t.Errorf("events of %v", events)
	}
}
