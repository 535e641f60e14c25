package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
)

// network is a range of loopback addresses, 127.A.B.1 to 127.A.B.254.
type network struct{ a, b int }

func newNetwork() network { return network{1 + rand.IntN(250), 1 + rand.IntN(250)} }

func (n network) ip(host int) string { return fmt.Sprintf("127.%d.%d.%d", n.a, n.b, host) }

// drawPorts returns ports that are free on all of the addresses. It holds all of them open until
// it has drawn the last one.
func drawPorts(ips []string, count int) []int {
	var held []net.Listener
	defer func() {
		for _, l := range held {
			_ = l.Close() // only the number of the port is needed
		}
	}()
	var ports []int
	for attempt := 0; len(ports) < count; attempt++ {
		if attempt > 100 {
			fail("no free ports")
		}
		port := 20000 + rand.IntN(12000)
		listeners, err := listenOnAll(ips, port)
		held = append(held, listeners...)
		if err == nil {
			ports = append(ports, port)
		}
	}
	return ports
}

func listenOnAll(ips []string, port int) ([]net.Listener, error) {
	var listeners []net.Listener
	for _, ip := range ips {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
		if err != nil {
			return listeners, err
		}
		listeners = append(listeners, l)
	}
	return listeners, nil
}
