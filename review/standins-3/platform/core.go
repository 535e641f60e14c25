package main

import (
	"math/rand/v2"
	"os/exec"
	"runtime"
	"syscall"
	"unsafe"
)

// cpuMask is a set of processors, as of the kernel.
type cpuMask [16]uint64

func (m *cpuMask) call(trap uintptr) bool {
	_, _, failure := syscall.RawSyscall(trap, 0, unsafe.Sizeof(*m), uintptr(unsafe.Pointer(m)))
	return failure == 0
}

// cores returns the processors of the set.
func (m *cpuMask) cores() []int {
	var cores []int
	for i := range len(m) * 64 {
		if m[i/64]&(1<<(i%64)) != 0 {
			cores = append(cores, i)
		}
	}
	return cores
}

// startOnOneCore starts a process that has one processor, as the machines of the pages have
// (cpu_cores). It inherits the processors of the thread that starts it. Where that is not
// possible, the process starts with all processors.
func startOnOneCore(c *exec.Cmd) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var all cpuMask
	if !all.call(syscall.SYS_SCHED_GETAFFINITY) {
		return c.Start()
	}
	cores := all.cores()
	core := cores[rand.IntN(len(cores))]
	var one cpuMask
	one[core/64] = 1 << (core % 64)
	if !one.call(syscall.SYS_SCHED_SETAFFINITY) {
		return c.Start()
	}
	defer all.call(syscall.SYS_SCHED_SETAFFINITY)
	return c.Start()
}
