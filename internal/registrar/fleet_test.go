package registrar_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"radishshed.example/radishshed/internal/adviser"
	"radishshed.example/radishshed/internal/departuresharer"
	"radishshed.example/radishshed/internal/registrar"
	"radishshed.example/radishshed/internal/selector"
	"radishshed.example/radishshed/pkg/coordination/disseminator"
)

const (
	tick           = 50 * time.Millisecond
	updateInterval = 250 * time.Millisecond
	linkDelay      = 20 * time.Millisecond
)

var errIsolated = errors.New("no other process confirms")

// process is a control VM or a router of a simulated fleet.
type process struct {
	fleet        *fleet
	number       int
	disseminator *disseminator.Disseminator
	registrar    *registrar.Registrar // of a control VM
	selector     *selector.Selector   // of a router
	cut          bool
}

// link carries updates from one process to another, in order.
type link struct {
	from, to *process
	up       bool
}

// SendUpdates implements disseminator.Link.
func (l *link) SendUpdates(data []byte) error {
	if !l.up {
		return errors.New("down")
	}
	f := l.from.fleet
	f.inFlight = append(f.inFlight, update{l, data, f.now.Add(linkDelay)})
	return nil
}

type update struct {
	link *link
	data []byte
	at   time.Time
}

// message is a call of a target that is on its way.
type message struct {
	at   time.Time
	send func()
}

// fleet is a fleet of control VMs and routers in virtual time. All are linked with each other.
type fleet struct {
	t        *testing.T
	now      time.Time
	controls []*process
	routers  []*process
	links    map[[2]*process]*link
	inFlight []update
	messages []message
}

func newFleet(t *testing.T, controls, routers int) *fleet {
	f := &fleet{t: t, now: time.UnixMilli(1_800_000_000_000), links: map[[2]*process]*link{}}
	for range controls {
		f.controls = append(f.controls, f.newProcess(true))
	}
	for range routers {
		f.routers = append(f.routers, f.newProcess(false))
	}
	f.connect()
	return f
}

func (f *fleet) all() []*process { return append(append([]*process{}, f.controls...), f.routers...) }

func (f *fleet) newProcess(control bool) *process {
	p := &process{fleet: f, number: len(f.controls) + len(f.routers)}
	p.open(control)
	return p
}

// open starts the process without memory.
func (p *process) open(control bool) {
	now := func() time.Time { return p.fleet.now }
	if control {
		p.disseminator = disseminator.New(disseminator.Config{Now: now})
		p.registrar = registrar.New(registrar.Config{Table: p.disseminator, Store: p.store, Log: zap.NewNop()})
		return
	}
	p.selector = selector.New(selector.Config{Now: now})
	departures := departuresharer.New(departuresharer.Config{
		Record: p.selector.RecordDeparture, Publish: func(e disseminator.Entry) error { return p.disseminator.Put(e) }, Log: zap.NewNop(),
	})
	p.disseminator = disseminator.New(disseminator.Config{Now: now, OnChange: func(entries []disseminator.Entry) {
		p.selector.Apply(entries)
		departures.Apply(entries, p.fleet.now)
	}})
}

// store stores an entry at another process that this one reaches.
func (p *process) store(_ context.Context, e disseminator.Entry) error {
	for _, other := range p.fleet.all() {
		if l := p.fleet.links[[2]*process{p, other}]; l == nil || !l.up {
			continue
		}
		data, err := disseminator.EncodeUpdates([]disseminator.Update{disseminator.NewUpdate(e)}, p.fleet.now)
		if err != nil {
			return err
		}
		return other.disseminator.Receive(nil, data)
	}
	return errIsolated
}

// connect restores the links between all processes that are not cut off, and ends the others.
func (f *fleet) connect() {
	for _, from := range f.all() {
		for _, to := range f.all() {
			key := [2]*process{from, to}
			up := from != to && !from.cut && !to.cut
			old := f.links[key]
			switch {
			case up && (old == nil || !old.up):
				f.links[key] = &link{from, to, true}
				from.disseminator.AddLink(f.links[key])
			case !up && old != nil && old.up:
				old.up = false
				from.disseminator.RemoveLink(old)
			}
		}
	}
}

// cutOff cuts processes off from all others.
func (f *fleet) cutOff(processes ...*process) {
	for _, p := range processes {
		p.cut = true
	}
	f.connect()
}

func (f *fleet) heal() {
	for _, p := range f.all() {
		p.cut = false
	}
	f.connect()
}

// restart starts the process again, without memory. Its cut, if any, goes on.
func (f *fleet) restart(p *process) {
	cut := p.cut
	f.cutOff(p)
	p.open(p.registrar != nil)
	p.cut = cut
	f.connect()
}

// step lets one tick pass.
func (f *fleet) step() {
	f.now = f.now.Add(tick)
	for {
		sent := false
		for i, m := range f.messages {
			if !m.at.After(f.now) {
				f.messages = append(f.messages[:i:i], f.messages[i+1:]...)
				m.send()
				sent = true
				break
			}
		}
		if !sent {
			break
		}
	}
	pending := f.inFlight
	f.inFlight = nil
	for _, u := range pending {
		back := f.links[[2]*process{u.link.to, u.link.from}]
		switch {
		case !u.link.up || back == nil: // lost with its link
		case u.at.After(f.now):
			f.inFlight = append(f.inFlight, u)
		default:
			if err := u.link.to.disseminator.Receive(back, u.data); err != nil {
				f.t.Fatal(err)
			}
		}
	}
	if f.now.UnixMilli()%updateInterval.Milliseconds() == 0 {
		for _, p := range f.all() {
			p.disseminator.Flush()
		}
	}
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.step()
	}
}

// target is one run of a target.
type target struct {
	fleet    *fleet
	name     string
	address  string
	born     uint64 // Unix time in milliseconds
	sequence uint64
}

func (f *fleet) start(name, address string) *target {
	return &target{fleet: f, name: name, address: address, born: uint64(f.now.UnixMilli())}
}

// announcement returns the next announcement of the target.
func (g *target) announcement(state selector.State) selector.Announcement {
	g.sequence++
	a, err := selector.NewAnnouncement(selector.AnnouncementConfig{
		Name: g.name, Address: g.address, Incarnation: g.born, Sequence: g.sequence, Services: []string{"s"}, Capacity: 8, State: state,
	})
	if err != nil {
		g.fleet.t.Fatal(err)
	}
	return a
}

// heartbeat sends a heartbeat of a target that serves, which arrives at the control VM after the
// delay.
func (g *target) heartbeat(at *process, delay time.Duration) {
	a := g.announcement(selector.Serving{})
	g.fleet.messages = append(g.fleet.messages, message{g.fleet.now.Add(delay), func() {
		_ = at.registrar.Announce(context.Background(), a, g.fleet.now) // the target sends the next one all the same
	}})
	if delay == 0 {
		g.fleet.step()
	}
}

// drain announces that the target leaves. It returns nil if that was acknowledged.
func (g *target) drain(at *process) error {
	return at.registrar.Announce(context.Background(), g.announcement(selector.Leaving{}).Departure(), g.fleet.now)
}

// deregister returns nil if the deregistration was acknowledged.
func (g *target) deregister(at *process, statesBorn bool) error {
	const clockDifference = 10_000 // milliseconds
	d := registrar.Deregistration{Target: g.name, StartedBefore: uint64(g.fleet.now.UnixMilli() - clockDifference)}
	if statesBorn {
		d.Incarnation = g.born
	}
	return at.registrar.Deregister(context.Background(), d, g.fleet.now)
}

// usable returns whether the router would choose the run of the target.
func (g *target) usable(p *process) bool {
	for _, t := range p.selector.Targets("s") {
		if t.Name() == g.name && t.Incarnation() == g.born {
			for _, address := range p.selector.Addresses() {
				if address == g.address {
					return true
				}
			}
		}
	}
	return false
}

// usableAnywhere returns the routers that would choose the run.
func (g *target) usableAnywhere() []string {
	var routers []string
	for _, p := range g.fleet.routers {
		if g.usable(p) {
			routers = append(routers, fmt.Sprintf("router %d", p.number))
		}
	}
	return routers
}

// departed says that the process knows of the departure of the run.
func (g *target) departed(p *process) bool {
	d := adviser.NewDeparture(g.name, g.born)
	e, ok := p.disseminator.Lookup(d.Key())
	return ok && e.Version().Incarnation() >= g.born
}
