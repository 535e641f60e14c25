package router

import (
	"net"
	"time"

	"radishshed.example/radishshed/internal/recorder"
	"radishshed.example/radishshed/internal/relayer"
	"radishshed.example/radishshed/internal/relayselector"
)

// maxRelayed is how many connections a router opens for others at a time.
const maxRelayed = 512

// newRelayer returns what opens connections to targets.
func (r *Router) newRelayer(dial relayer.Dialer) *relayer.Relayer {
	if dial == nil {
		dial = relayer.DialDirect
	}
	return relayer.New(relayer.Config{
		DataCentre:  r.settings.DataCentre(),
		Dial:        dial,
		Tunneller:   func() relayer.Tunneller { return r.endpoint },
		Targets:     r.selector.Addresses,
		Candidates:  func() []relayselector.Candidate { return *r.relayCandidates.Load() },
		Load:        func() float64 { return 0 },
		Draining:    r.tracker.ShuttingDown,
		WrapCarried: func(c net.Conn) net.Conn { return c },
		MaxRelayed:  maxRelayed,
		OnChange:    r.pathChanged,
		Metrics:     r.metrics,
		Log:         r.log,
	})
}

// pathChanged is called when this router has lost the path to targets, or has it back. Idle
// connections belong to the former path.
func (r *Router) pathChanged(lost bool) {
	r.forwarder.CloseIdle()
	if lost {
		r.announceLostPath()
	}
}

// announceLostPath tells other routers not to choose this one as a relay.
func (r *Router) announceLostPath() {
	if err := r.disseminator.Put(relayer.Announcement(r.process, time.Now())); err != nil {
		r.log.Warn("cannot announce that the path to targets is lost", recorder.Err(err))
	}
}
