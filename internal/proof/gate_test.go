package proof_test

import (
	"bytes"
	"io"
	"net"
	"regexp"
	"sync"
	"time"

	. "github.com/onsi/gomega"
)

var vmPattern = regexp.MustCompile(`Radishshed-Vm: (\S+)`)

// cuts says which VMs cannot reach each other. A cut is silent: bytes vanish,
// and new connections are taken and never answered.
type cuts struct {
	mutex sync.Mutex
	sides map[string]int
}

func newCuts() *cuts { return &cuts{sides: map[string]int{}} }

// isolate puts the VMs on a side of their own.
func (c *cuts) isolate(side int, vms ...string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, vm := range vms {
		c.sides[vm] = side
	}
}

func (c *cuts) heal() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	clear(c.sides)
}

func (c *cuts) between(a, b string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.sides[a] != c.sides[b]
}

// gate stands in front of a VM's link address.
type gate struct {
	vm      string
	address string
	behind  string
	cuts    *cuts
	socket  net.Listener
}

func newGate(vm, behind string, c *cuts) *gate {
	socket, err := net.Listen("tcp", freeAddress())
	Expect(err).NotTo(HaveOccurred())
	g := &gate{vm, socket.Addr().String(), behind, c, socket}
	go g.run()
	return g
}

func (g *gate) close() { _ = g.socket.Close() } // the test is over

func (g *gate) run() {
	for {
		connection, err := g.socket.Accept()
		if err != nil {
			return
		}
		p := &passage{gate: g, outer: connection}
		go p.run()
	}
}

// passage is one connection through a gate.
type passage struct {
	gate  *gate
	outer net.Conn
	vm    string
}

// run reads the beginning of the connection, which names the dialling VM.
func (p *passage) run() {
	defer func() { _ = p.outer.Close() }() // nothing can be done
	buffer := make([]byte, 4096)
	n, err := p.outer.Read(buffer)
	if err != nil {
		return
	}
	if match := vmPattern.FindSubmatch(buffer[:n]); match != nil {
		p.vm = string(match[1])
	}
	inner, err := net.Dial("tcp", p.gate.behind)
	if err != nil {
		return
	}
	defer func() { _ = inner.Close() }() // nothing can be done
	go p.pump(p.outer, inner, nil)
	p.pump(inner, p.outer, buffer[:n])
}

// pump copies bytes until an end closes; bytes that meet a cut vanish for good,
// and so does everything that follows them on the connection.
func (p *passage) pump(to io.WriteCloser, from io.Reader, first []byte) {
	defer func() { _ = to.Close() }() // nothing can be done
	lost := false
	data := bytes.Clone(first)
	buffer := make([]byte, 64<<10)
	for {
		lost = lost || p.gate.cuts.between(p.vm, p.gate.vm)
		if !lost && len(data) > 0 {
			if _, err := to.Write(data); err != nil {
				return
			}
		}
		n, err := from.Read(buffer)
		if err != nil {
			for lost { // a cut hides the end of a connection, too
				time.Sleep(time.Second)
				lost = p.gate.cuts.between(p.vm, p.gate.vm)
			}
			return
		}
		data = buffer[:n]
	}
}
