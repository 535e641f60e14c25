package inspector

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// stateClosed is TCP_CLOSE of the Linux kernel. A connection that this end has not closed is in
// that state only if its peer has reset it.
const stateClosed = 7

// inspect returns the state of a connection, or an error if this end has closed it.
func inspect(c net.Conn) (state, error) {
	known := state{acknowledged: true}
	socket, ok := c.(syscall.Conn)
	if !ok {
		return known, nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return state{}, err
	}
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return // no TCP connection
		}
		known = state{reset: info.State == stateClosed, acknowledged: info.Unacked == 0 && info.Notsent_bytes == 0}
	})
	return known, err
}
