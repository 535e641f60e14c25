package encoder

import "radishshed.example/radishshed/pkg/protocol/identifier"

// WireProcess is the CBOR form of a process.
type WireProcess struct {
	_           struct{} `cbor:",toarray"`
	VM          string
	Incarnation uint64
}

// ProcessToWire returns the CBOR form of the process.
func ProcessToWire(p identifier.Process) WireProcess {
	return WireProcess{VM: p.VM(), Incarnation: p.Incarnation()}
}

// ProcessFromWire is the inverse of ProcessToWire.
func ProcessFromWire(w WireProcess) identifier.Process {
	return identifier.NewProcess(w.VM, w.Incarnation)
}

// ProcessesToWire returns the CBOR form of the processes.
func ProcessesToWire(processes []identifier.Process) []WireProcess {
	var wire []WireProcess
	for _, p := range processes {
		wire = append(wire, ProcessToWire(p))
	}
	return wire
}

// ProcessesFromWire is the inverse of ProcessesToWire.
func ProcessesFromWire(wire []WireProcess) []identifier.Process {
	var processes []identifier.Process
	for _, w := range wire {
		processes = append(processes, ProcessFromWire(w))
	}
	return processes
}
