// Package registrar takes what targets say of themselves at control VMs: announcements, which
// renew a lease, and deregistrations, which end a run of a target for good.
//
// A departure outlives the lease of the target that it ends: it is an entry of its own, which
// names the last run of the target that has left. No later message of such a run makes the target
// usable again, at any process that has the entry. It is acknowledged only once another process
// has it as well.
package registrar

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"radishshed.example/radishshed/internal/adviser"
	"radishshed.example/radishshed/internal/selector"
	"radishshed.example/radishshed/pkg/coordination/disseminator"
)

const (
	// targetLease outlasts three announcements that are lost or delayed.
	targetLease = 4500 * time.Millisecond
	// renewalInterval is the shortest time between two disseminations of an
	// unchanged announcement.
	renewalInterval = 1500 * time.Millisecond
	// maxUnknown bounds the departures of targets that this process does not know, which anybody
	// can invent, within the lease of a departure. All control VMs together stay below the number
	// that a router remembers.
	maxUnknown = 512
)

// Errors of Deregister.
var (
	// ErrUnknownRun means that the run that is to end is not stated and cannot be inferred.
	ErrUnknownRun = errors.New("this target is not known, and the run that ends is not stated")
	// ErrTooManyUnknown means that too many targets that are not known have deregistered.
	ErrTooManyUnknown = errors.New("too many targets that are not known have deregistered")
)

// Table holds the entries of this process. disseminator.Disseminator implements it.
type Table interface {
	// Put merges an entry and distributes it.
	Put(disseminator.Entry) error
	// Lookup returns the entry with the key, whether or not its lease has expired.
	Lookup(key string) (disseminator.Entry, bool)
	// Flush sends pending entries immediately.
	Flush()
}

// Config configures a Registrar.
type Config struct {
	// Table holds the entries of this process. Required.
	Table Table
	// Store stores an entry at another process. It returns an error if none has confirmed that in
	// time. Required.
	Store func(context.Context, disseminator.Entry) error
	// OnAnnounced, if set, is called with each announcement that is distributed.
	OnAnnounced func(selector.Announcement, time.Time)
	// Log receives a line for each deregistration and departure. Required.
	Log *zap.Logger
}

// Deregistration says that a run of a target has ended or is about to.
type Deregistration struct {
	// Target is the name of the target.
	Target string
	// Incarnation is the run that ends, or zero if the target does not state it.
	Incarnation uint64
	// StartedBefore is the highest incarnation that has certainly begun before the call, or zero if
	// incarnations do not tell. It stands in for a run that is not stated.
	StartedBefore uint64
}

// Registrar takes announcements and deregistrations of targets. It is safe for concurrent use.
type Registrar struct {
	config Config

	mutex   sync.Mutex
	unknown []time.Time // when departures of targets that were not known expire, in order
}

// New returns a Registrar.
func New(c Config) *Registrar {
	if c.OnAnnounced == nil {
		c.OnAnnounced = func(selector.Announcement, time.Time) {}
	}
	return &Registrar{config: c}
}

// Announce distributes the announcement of a target. One of a run that has left is distributed as
// its departure. If the target says that it leaves, an error means that this may be forgotten.
func (r *Registrar) Announce(ctx context.Context, a selector.Announcement, now time.Time) error {
	known, isKnown := r.announcement(a.Name())
	if r.hasLeft(adviser.NewDeparture(a.Name(), a.Incarnation())) {
		a = a.Departure()
	}
	if _, leaving := a.State().(selector.Leaving); leaving {
		err := r.recordDeparture(ctx, adviser.NewDeparture(a.Name(), a.Incarnation()), isKnown, now)
		if err != nil && !errors.Is(err, ErrTooManyUnknown) {
			return err
		}
	}
	if !isKnown || known.Version().Incarnation() != a.Incarnation() {
		return r.put(a, now)
	}
	return r.renew(known, a, now)
}

// renew distributes an announcement of a run that is known, unless it says nothing new.
func (r *Registrar) renew(known disseminator.Entry, a selector.Announcement, now time.Time) error {
	previous, err := selector.AnnouncementFrom(known)
	if err != nil {
		return r.put(a, now)
	}
	if a.WarmupEndsAt().IsZero() && previous.WarmupEndsAt().After(now) {
		a = a.WithWarmupEndsAt(previous.WarmupEndsAt())
	}
	unchanged := previous.State() == a.State() && previous.Address() == a.Address() && sameWarmup(previous, a, now)
	if unchanged && known.ExpiresAt().Sub(now) > targetLease-renewalInterval {
		return nil
	}
	if err := r.put(a, now); err != nil {
		return err
	}
	if a.WarmupEndsAt().After(now) && !previous.WarmupEndsAt().After(now) {
		r.config.Table.Flush() // the next round of updates may come 250 ms later
	}
	return nil
}

// sameWarmup reports whether two announcements state about the same end of a warm-up.
// Announcements take unequal times.
func sameWarmup(previous, a selector.Announcement, now time.Time) bool {
	const ignored = 250 * time.Millisecond
	if !previous.WarmupEndsAt().After(now) && !a.WarmupEndsAt().After(now) {
		return true
	}
	return a.WarmupEndsAt().Sub(previous.WarmupEndsAt()).Abs() <= ignored
}

// Deregister records that a run of a target has left, and earlier ones. An error means that this
// may be forgotten: the target must ask another process.
func (r *Registrar) Deregister(ctx context.Context, d Deregistration, now time.Time) error {
	known, isKnown := r.announcement(d.Target)
	r.config.Log.Info("target deregisters", zap.String("target", d.Target), zap.Uint64("incarnation", d.Incarnation),
		zap.Uint64("startedBefore", d.StartedBefore), zap.Bool("known", isKnown), zap.Uint64("knownIncarnation", known.Version().Incarnation()),
		zap.Uint64("knownSequence", known.Version().Sequence()), zap.Time("leaseExpiresAt", known.ExpiresAt()))
	departure, err := departureOf(d, known.Version().Incarnation())
	if err != nil {
		return err
	}
	if err := r.recordDeparture(ctx, departure, isKnown, now); err != nil {
		return err
	}
	if !isKnown || known.Version().Incarnation() > departure.Incarnation() {
		return nil
	}
	a, err := selector.AnnouncementFrom(known)
	if err != nil {
		return err
	}
	return r.put(a.Departure(), now)
}

// departureOf returns the departure that a deregistration means, if the known run of its target,
// or zero, is the given one. A process that was cut off may know an earlier run than the one that
// ends.
func departureOf(d Deregistration, known uint64) (adviser.Departure, error) {
	incarnation := d.Incarnation
	if incarnation == 0 {
		incarnation = max(known, d.StartedBefore)
	}
	if incarnation == 0 {
		return adviser.Departure{}, ErrUnknownRun
	}
	return adviser.NewDeparture(d.Target, incarnation), nil
}

// announcement returns the newest entry of the target, whether or not its lease has expired.
func (r *Registrar) announcement(target string) (disseminator.Entry, bool) {
	return r.config.Table.Lookup(selector.TargetKey(target))
}

// hasLeft reports whether the run, or a later one of the same target, is known to have left.
func (r *Registrar) hasLeft(d adviser.Departure) bool {
	e, ok := r.config.Table.Lookup(d.Key())
	return ok && e.Version().Incarnation() >= d.Incarnation()
}

// recordDeparture records the departure here and at another process, unless it is known already:
// then another process has told, or has confirmed it.
func (r *Registrar) recordDeparture(ctx context.Context, d adviser.Departure, isKnown bool, now time.Time) error {
	if r.hasLeft(d) {
		return nil
	}
	if !isKnown && !r.admitUnknown(now) {
		return ErrTooManyUnknown
	}
	entry := d.Entry(now)
	if err := r.config.Store(ctx, entry); err != nil {
		return errors.Wrapf(err, "departure of %q", d.Target())
	}
	if err := r.config.Table.Put(entry); err != nil {
		return err
	}
	r.config.Table.Flush()
	r.config.Log.Info("target leaves", zap.String("target", d.Target()), zap.Uint64("incarnation", d.Incarnation()))
	return nil
}

// admitUnknown reports whether one more departure of a target that is not known may be recorded.
func (r *Registrar) admitUnknown(now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for len(r.unknown) > 0 && !r.unknown[0].After(now) {
		r.unknown = r.unknown[1:]
	}
	if len(r.unknown) >= maxUnknown {
		return false
	}
	r.unknown = append(r.unknown, now.Add(adviser.DepartureLease))
	return true
}

func (r *Registrar) put(a selector.Announcement, now time.Time) error {
	r.config.OnAnnounced(a, now)
	entry, err := a.EntryUntil(now.Add(targetLease))
	if err != nil {
		return err
	}
	return r.config.Table.Put(entry)
}
