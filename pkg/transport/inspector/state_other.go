//go:build !linux

package inspector

import "net"

// inspect returns no more than the results of writes tell.
func inspect(net.Conn) (state, error) { return state{acknowledged: true}, nil }
