package controller

import (
	"context"
	"net"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"radishshed.example/radishshed/internal/messenger"
	"radishshed.example/radishshed/internal/recorder"
	"radishshed.example/radishshed/internal/selector"
	"radishshed.example/radishshed/pkg/coordination/disseminator"
	"radishshed.example/radishshed/pkg/coordination/repeater"
)

const (
	discoveryInterval = 500 * time.Millisecond
	// addressInterval is how often a control VM publishes its address.
	addressInterval = 4 * time.Second
	addressLease    = 12 * time.Second
	// targetLease outlasts three announcements that are lost or delayed.
	targetLease = 4500 * time.Millisecond
	// renewalInterval is the shortest time between two disseminations of an
	// unchanged announcement.
	renewalInterval = 1500 * time.Millisecond
)

// runDiscovery publishes the address of this control VM and maintains links to
// all other control VMs: those in the settings, those that have published their
// addresses, and the members of the log whose names are IP addresses.
func (c *Controller) runDiscovery(ctx context.Context) {
	var announcedAt time.Time
	repeater.New(repeater.Config{Interval: discoveryInterval, AtStart: true, Step: func(context.Context) {
		if time.Since(announcedAt) >= addressInterval {
			c.publishAddress()
			announcedAt = time.Now()
		}
		c.endpoint.SetDialAddresses(c.controlAddresses())
	}}).Run(ctx)
}

func (c *Controller) publishAddress() {
	now := time.Now()
	err := c.disseminator.Put(disseminator.NewEntry(disseminator.EntryConfig{
		Key:       messenger.ControlAddressPrefix + c.member.VM(),
		Version:   disseminator.NewVersion(c.startedAt, uint64(now.UnixNano())),
		Value:     []byte(c.settings.AdvertisedAddress()),
		ExpiresAt: now.Add(addressLease),
	}))
	if err != nil {
		c.log.Warn("cannot announce this VM's address", recorder.Err(err))
	}
}

// controlAddresses returns the known addresses of control VMs, sorted and without
// duplicates.
func (c *Controller) controlAddresses() []string {
	addresses := slices.Clone(*c.addresses.Load())
	entries := c.disseminator.Live()
	c.controlVMs.Update(entries)
	for _, e := range entries {
		if strings.HasPrefix(e.Key(), messenger.ControlAddressPrefix) {
			addresses = append(addresses, string(e.Value()))
		}
	}
	_, port, err := net.SplitHostPort(c.settings.LinkAddress())
	membership := c.status.Load().membership
	for _, member := range append(membership.Voters(), membership.Learners()...) {
		if err == nil && net.ParseIP(member.VM()) != nil {
			addresses = append(addresses, net.JoinHostPort(member.VM(), port))
		}
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// Announce disseminates the announcement of a target to the fleet.
func (c *Controller) Announce(a selector.Announcement) error {
	now := time.Now()
	warmsAgain := false
	if known, ok := c.targetEntry(a.Name()); ok && known.Version().Incarnation() == a.Incarnation() {
		previous, err := selector.AnnouncementFrom(known)
		if err == nil && a.WarmupEndsAt().IsZero() && previous.WarmupEndsAt().After(now) {
			a = a.WithWarmupEndsAt(previous.WarmupEndsAt())
		}
		warmsAgain = err == nil && a.WarmupEndsAt().After(now) && !previous.WarmupEndsAt().After(now)
		unchanged := err == nil && previous.State() == a.State() && previous.Address() == a.Address() && sameWarmup(previous, a, now)
		if unchanged && known.ExpiresAt().Sub(now) > targetLease-renewalInterval {
			return nil
		}
	}
	c.origins.Publish(a, c.disseminator.Get, now)
	entry, err := a.EntryUntil(now.Add(targetLease))
	if err != nil {
		return err
	}
	if err := c.disseminator.Put(entry); err != nil {
		return err
	}
	if warmsAgain {
		c.disseminator.Flush() // the next round of updates may come 250 ms later
	}
	if _, leaving := a.State().(selector.Leaving); leaving {
		c.log.Info("target leaves", zap.String("target", a.Name()), zap.Uint64("incarnation", a.Incarnation()),
			zap.Uint64("sequence", a.Sequence()))
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

// RecordMalformedWarmup records that the warm-up in the announcement of a target could
// not be read and was ignored.
func (c *Controller) RecordMalformedWarmup(target string) {
	c.limits.RecordMalformedWarmup(target, time.Now())
}

// DeregisterTarget announces that a target has left, so that no router sends
// further requests to its current incarnation. It does nothing if the
// incarnation is neither zero nor the current one. It also does nothing if this
// control VM has no entry of the target, since routers then cannot receive one
// from this VM either.
func (c *Controller) DeregisterTarget(name string, incarnation uint64) error {
	entry, ok := c.targetEntry(name)
	c.log.Info("target deregisters", zap.String("target", name), zap.Uint64("incarnation", incarnation), zap.Bool("live", ok),
		zap.Uint64("knownIncarnation", entry.Version().Incarnation()), zap.Uint64("knownSequence", entry.Version().Sequence()),
		zap.Time("leaseExpiresAt", entry.ExpiresAt()))
	if !ok {
		return nil
	}
	a, err := selector.AnnouncementFrom(entry)
	if err != nil {
		return err
	}
	if incarnation != 0 && incarnation != a.Incarnation() {
		return nil
	}
	return c.Announce(a.Departure())
}

func (c *Controller) targetEntry(name string) (disseminator.Entry, bool) {
	return c.disseminator.Get(selector.TargetKey(name))
}
