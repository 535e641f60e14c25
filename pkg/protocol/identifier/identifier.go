// Package identifier defines the identifiers of processes and requests.
//
// A process is identified by its VM and an incarnation. A router gets a higher
// incarnation at each start, a control VM only after it has lost its disk. A newer
// incarnation proves that the older one has terminated and will not return.
package identifier

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Process identifies one incarnation of a program on a VM.
type Process struct {
	vm          string
	incarnation uint64
}

// NewProcess returns the identifier of the process with the given VM and
// incarnation.
func NewProcess(vm string, incarnation uint64) Process {
	return Process{vm: vm, incarnation: incarnation}
}

// VM returns the name of the VM that the process runs on.
func (p Process) VM() string { return p.vm }

// Incarnation returns the incarnation. Later incarnations on the same VM are
// higher.
func (p Process) Incarnation() uint64 { return p.incarnation }

// IsZero reports whether p identifies no process.
func (p Process) IsZero() bool { return p.vm == "" }

// String returns the form "vm@incarnation", with the incarnation in base 36.
func (p Process) String() string {
	return p.vm + "@" + strconv.FormatUint(p.incarnation, 36)
}

// ParseProcess is the inverse of Process.String.
func ParseProcess(s string) (Process, error) {
	vm, number, ok := strings.Cut(s, "@")
	if !ok || vm == "" {
		return Process{}, errors.Errorf("process %q is not of the form vm@incarnation", s)
	}
	incarnation, err := strconv.ParseUint(number, 36, 64)
	if err != nil {
		return Process{}, errors.Errorf("process %q has a malformed incarnation", s)
	}
	return NewProcess(vm, incarnation), nil
}

// Request identifies a request by the router process that admitted it and a sequence
// number. The sequence numbers of a process start at one.
type Request struct {
	router   Process
	sequence uint64
}

// NewRequest returns the identifier of the router's request with the given
// sequence number.
func NewRequest(router Process, sequence uint64) Request {
	return Request{router: router, sequence: sequence}
}

// Router returns the router process that admitted the request.
func (r Request) Router() Process { return r.router }

// Sequence returns the request's sequence number in its router process.
func (r Request) Sequence() uint64 { return r.sequence }

// String returns the form "vm@incarnation/sequence".
func (r Request) String() string {
	return fmt.Sprintf("%s/%d", r.router, r.sequence)
}

// ParseRequest is the inverse of Request.String.
func ParseRequest(s string) (Request, error) {
	process, number, ok := strings.Cut(s, "/")
	if !ok {
		return Request{}, errors.Errorf("request %q is not of the form vm@incarnation/sequence", s)
	}
	router, err := ParseProcess(process)
	if err != nil {
		return Request{}, errors.Wrapf(err, "request %q", s)
	}
	sequence, err := strconv.ParseUint(number, 10, 64)
	if err != nil || sequence == 0 {
		return Request{}, errors.Errorf("request %q has a malformed sequence number", s)
	}
	return NewRequest(router, sequence), nil
}
