package controller

import (
	"context"
	"net"
	"slices"
	"strings"
	"time"

	"radishshed.example/radishshed/internal/messenger"
	"radishshed.example/radishshed/internal/recorder"
	"radishshed.example/radishshed/internal/registrar"
	"radishshed.example/radishshed/internal/selector"
	"radishshed.example/radishshed/pkg/coordination/disseminator"
	"radishshed.example/radishshed/pkg/coordination/repeater"
)

const (
	discoveryInterval = 500 * time.Millisecond
	// addressInterval is how often a control VM publishes its address.
	addressInterval = 4 * time.Second
	addressLease    = 12 * time.Second
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

// newRegistrar returns the registrar of this control VM.
func (c *Controller) newRegistrar() *registrar.Registrar {
	return registrar.New(registrar.Config{
		Table: c.disseminator,
		Store: c.storeElsewhere,
		OnAnnounced: func(a selector.Announcement, now time.Time) {
			c.origins.Publish(a, c.disseminator.Get, now)
		},
		Log: c.log,
	})
}

// Announce distributes the announcement of a target to the fleet.
func (c *Controller) Announce(ctx context.Context, a selector.Announcement) error {
	return c.registrar.Announce(ctx, a, time.Now())
}

// DeregisterTarget records that a run of a target has left, so that no router sends further
// requests to it.
func (c *Controller) DeregisterTarget(ctx context.Context, d registrar.Deregistration) error {
	return c.registrar.Deregister(ctx, d, time.Now())
}

// RecordMalformedWarmup records that the warm-up in the announcement of a target could
// not be read and was ignored.
func (c *Controller) RecordMalformedWarmup(target string) {
	c.limits.RecordMalformedWarmup(target, time.Now())
}
