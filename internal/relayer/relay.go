package relayer

import (
	"context"
	"net"
	"slices"
	"syscall"

	"github.com/pkg/errors"

	"radishshed.example/radishshed/internal/recorder"
)

// Accept implements linker.TunnelHandler: it opens a direct connection for another router.
func (r *Relayer) Accept(ctx context.Context, request []byte) ([]byte, net.Conn) {
	destination, outcome := r.open(ctx, request)
	data, err := encodeReply(reply{outcome, r.load()})
	if err != nil {
		r.config.Log.Warn("cannot encode the reply to a router that has lost its path", recorder.Err(err))
	}
	return data, destination
}

// load returns how busy this router is, where 1 is full.
func (r *Relayer) load() float64 {
	return max(r.config.Load(), float64(r.relayed.Load())/float64(r.config.MaxRelayed))
}

// open returns nil unless the outcome is accepted.
func (r *Relayer) open(ctx context.Context, request []byte) (net.Conn, outcome) {
	address, err := decodeRequest(request)
	switch {
	case err != nil || !slices.Contains(r.config.Targets(), address):
		return nil, unknownTarget
	case r.monitor.Lost() || r.config.Draining() || r.load() >= 1:
		return nil, busy // requests of own callers come first
	}
	r.relayed.Add(1)
	ctx, cancel := context.WithTimeout(ctx, relayDialTimeout)
	defer cancel()
	socket, err := r.config.Dial(ctx, address)
	if err != nil {
		r.relayed.Add(-1)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return nil, targetRefused
		}
		return nil, targetUnreachable
	}
	r.carried.Inc(1)
	return &carriedConnection{Conn: r.config.WrapCarried(socket), relayer: r}, accepted
}
