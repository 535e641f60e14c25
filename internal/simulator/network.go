package simulator

import (
	"context"
	"errors"
	"net"
	"syscall"
)

const (
	// networkSegmentBytes and networkWindowBytes are those of an ordinary network. With those of
	// loopback, a short request is at its target before that can end the connection.
	networkSegmentBytes = 1448
	networkWindowBytes  = 8 << 10
)

// ListenOverNetwork listens at a loopback address, as host and port, with the segments and the
// receive window of an ordinary network.
func ListenOverNetwork(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var failure error
		err := c.Control(func(fd uintptr) {
			failure = errors.Join(
				syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, networkSegmentBytes),
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, networkWindowBytes),
			)
		})
		return errors.Join(err, failure)
	}}
	return config.Listen(context.Background(), "tcp", address)
}
