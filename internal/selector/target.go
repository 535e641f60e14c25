// Package selector keeps the targets that have announced themselves and chooses
// one for each request of a router.
package selector

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"

	"radishshed.example/radishshed/pkg/coordination/disseminator"
)

const (
	// keyPrefix is the key prefix of disseminator entries that are
	// announcements of targets.
	keyPrefix = "target/"
	// LeaseDuration is how long an announcement keeps a target usable.
	LeaseDuration = 3 * time.Second

	maxNameBytes = 128
	maxServices  = 64
)

// State is the state that a target announces. The interface is sealed: its only
// implementations are Serving and Leaving.
type State interface {
	// String returns the name used in announcements.
	String() string
	isState()
}

// Serving targets accept new requests.
type Serving struct{}

// Leaving targets only finish their open requests. A target that is leaving
// stays so until its incarnation changes.
type Leaving struct{}

func (Serving) String() string { return "serving" }
func (Leaving) String() string { return "leaving" }

func (Serving) isState() {}
func (Leaving) isState() {}

// Announcement is the state that a target sends to one of the routers about
// once a second.
type Announcement struct {
	name        string
	address     string
	dataCentre  string
	software    string
	incarnation uint64
	sequence    uint64
	services    []string
	capacity    int64
	state       State
	load        Load
	warmupEnd   time.Time
}

// Load is the load that a target reports. It is outdated by the report interval
// and the transmission delay.
type Load struct {
	running int64
	waiting int64
}

// Running returns the number of requests that the target processes.
func (l Load) Running() int64 { return l.running }

// Waiting returns the number of requests queued inside the target.
func (l Load) Waiting() int64 { return l.waiting }

// AnnouncementConfig holds the fields of an announcement.
type AnnouncementConfig struct {
	// Name identifies the target. Required.
	Name string
	// Address is the address at which the target serves requests, as host and
	// port. Required.
	Address string
	// DataCentre is the data centre in which the target runs.
	DataCentre string
	// SoftwareVersion is the version of the target's software, if it states one.
	SoftwareVersion string
	// Incarnation and Sequence order the announcements. Required.
	Incarnation, Sequence uint64
	// Services are the services that the target serves. Required.
	Services []string
	// Capacity is how many requests the target can run at the same time.
	// Required.
	Capacity int64
	// State is the announced state. Required.
	State State
	// WarmupEndsAt is the end of the target's warm-up, or zero if it does not state one. One in
	// the past says that the target is not warming.
	WarmupEndsAt time.Time
}

// NewAnnouncement returns a validated announcement.
func NewAnnouncement(c AnnouncementConfig) (Announcement, error) {
	a := Announcement{
		name: c.Name, address: c.Address, dataCentre: c.DataCentre, software: c.SoftwareVersion, incarnation: c.Incarnation,
		sequence: c.Sequence, services: c.Services, capacity: c.Capacity, state: c.State,
		warmupEnd: c.WarmupEndsAt,
	}
	return a, a.check()
}

// Name returns the target's name.
func (a Announcement) Name() string { return a.name }

// Address returns the address at which the target serves requests, as host and
// port.
func (a Announcement) Address() string { return a.address }

// DataCentre returns the data centre in which the target runs.
func (a Announcement) DataCentre() string { return a.dataCentre }

// SoftwareVersion returns the version of the target's software, or "" if the target does
// not state one. Streams of different versions do not fit together.
func (a Announcement) SoftwareVersion() string { return a.software }

// Incarnation returns the incarnation of the target.
func (a Announcement) Incarnation() uint64 { return a.incarnation }

// Sequence returns the sequence number of the announcement within its
// incarnation.
func (a Announcement) Sequence() uint64 { return a.sequence }

// Services returns the services that the target serves.
func (a Announcement) Services() []string { return a.services }

// Capacity returns how many requests the target can run at the same time.
func (a Announcement) Capacity() int64 { return a.capacity }

// State returns the announced state.
func (a Announcement) State() State { return a.state }

// WarmupEndsAt returns the end of the target's warm-up, or zero if the announcement does not
// state one.
func (a Announcement) WarmupEndsAt() time.Time { return a.warmupEnd }

// WithWarmupEndsAt returns the announcement with another end of the warm-up.
func (a Announcement) WithWarmupEndsAt(end time.Time) Announcement {
	a.warmupEnd = end
	return a
}

// departureSequenceOffset raises the sequence number of a departure above that
// of any announcement of the same incarnation that is still in flight.
const departureSequenceOffset = 1 << 40

// Departure returns the announcement that marks this incarnation as leaving and
// supersedes all its others.
func (a Announcement) Departure() Announcement {
	a.state = Leaving{}
	if a.sequence < departureSequenceOffset {
		a.sequence += departureSequenceOffset
	}
	return a
}

type jsonAnnouncement struct {
	Name        string   `json:"name"`
	Address     string   `json:"address"`
	DataCentre  string   `json:"dataCentre"`
	Software    string   `json:"softwareVersion,omitempty"`
	Incarnation uint64   `json:"incarnation"`
	Sequence    uint64   `json:"sequence"`
	Services    []string `json:"services"`
	Capacity    int64    `json:"capacity"`
	State       string   `json:"state"`
	Load        jsonLoad `json:"load"`
}

type jsonLoad struct {
	Running int64 `json:"running"`
	Waiting int64 `json:"waiting"`
}

// DecodeAnnouncement decodes and validates the body of an announcement.
func DecodeAnnouncement(data []byte) (Announcement, error) {
	var w jsonAnnouncement
	if err := json.Unmarshal(data, &w); err != nil {
		return Announcement{}, errors.Wrap(err, "announcement")
	}
	a := Announcement{
		name:        w.Name,
		address:     w.Address,
		dataCentre:  w.DataCentre,
		software:    w.Software,
		incarnation: w.Incarnation,
		sequence:    w.Sequence,
		services:    w.Services,
		capacity:    w.Capacity,
		load:        Load{w.Load.Running, w.Load.Waiting},
	}
	switch w.State {
	case Serving{}.String():
		a.state = Serving{}
	case Leaving{}.String():
		a.state = Leaving{}
	default:
		return a, errors.Errorf(`announcement: state %q is neither "serving" nor "leaving"`, w.State)
	}
	return a, a.check()
}

func (a Announcement) check() error {
	switch {
	case len(a.software) > maxNameBytes:
		return errors.New("announcement: software version is too long")
	case a.name == "" || len(a.name) > maxNameBytes:
		return errors.New("announcement: name is missing or too long")
	case a.address == "":
		return errors.New("announcement: address is missing")
	case a.incarnation == 0 || a.sequence == 0:
		return errors.New("announcement: incarnation and sequence must be one or more")
	case len(a.services) == 0 || len(a.services) > maxServices:
		return errors.Errorf("announcement: services must name 1 to %d services", maxServices)
	case a.capacity <= 0 || a.load.running < 0 || a.load.waiting < 0:
		return errors.New("announcement: capacity must be positive and load must not be negative")
	}
	return nil
}

// Entry returns the disseminator entry of the announcement, with a lease of
// LeaseDuration.
func (a Announcement) Entry(now time.Time) (disseminator.Entry, error) {
	return a.EntryUntil(now.Add(LeaseDuration))
}

// EntryUntil returns the disseminator entry of the announcement, with a lease
// that expires at the given time.
//
// The encoded value always has the sequence number 1, because the disseminator
// sends a value again only if the value has changed. AnnouncementFrom takes the
// sequence number from the version of the entry.
func (a Announcement) EntryUntil(expiresAt time.Time) (disseminator.Entry, error) {
	value, err := json.Marshal(jsonAnnouncement{
		Name: a.name, Address: a.address, DataCentre: a.dataCentre, Software: a.software,
		Incarnation: a.incarnation, Sequence: 1, Services: a.services,
		Capacity: a.capacity, State: a.state.String(),
	})
	if err != nil {
		return disseminator.Entry{}, errors.Wrap(err, "encode announcement")
	}
	load, err := json.Marshal(a.loadNumbers(expiresAt))
	if err != nil {
		return disseminator.Entry{}, errors.Wrap(err, "encode load")
	}
	return disseminator.NewEntry(disseminator.EntryConfig{
		Key:       keyPrefix + a.name,
		Version:   disseminator.NewVersion(a.incarnation, a.sequence),
		Value:     value,
		Load:      load,
		ExpiresAt: expiresAt,
	}), nil
}

// loadNumbers returns the load and, if the target states it, the end of the warm-up in
// milliseconds after the end of the lease: processes agree on that in spite of their clocks,
// and builds that know no warm-ups ignore a third number. The value of the entry would be sent
// anew with each announcement.
func (a Announcement) loadNumbers(expiresAt time.Time) []int64 {
	numbers := []int64{a.load.running, a.load.waiting}
	if !a.warmupEnd.IsZero() {
		numbers = append(numbers, a.warmupEnd.Sub(expiresAt).Milliseconds())
	}
	return numbers
}

// TargetKey returns the key of the disseminator entry of the named target.
func TargetKey(name string) string { return keyPrefix + name }

// IsTarget reports whether the entry is the announcement of a target.
func IsTarget(e disseminator.Entry) bool { return strings.HasPrefix(e.Key(), keyPrefix) }

// AnnouncementFrom decodes the announcement in a disseminator entry.
func AnnouncementFrom(e disseminator.Entry) (Announcement, error) {
	a, err := DecodeAnnouncement(e.Value())
	if err != nil {
		return a, err
	}
	var load []int64
	if err := json.Unmarshal(e.Load(), &load); err != nil {
		return a, errors.Wrap(err, "decode load")
	}
	load = append(load, make([]int64, max(0, 2-len(load)))...)
	a.sequence = e.Version().Sequence()
	a.load = Load{load[0], load[1]}
	if len(load) > 2 {
		a.warmupEnd = e.ExpiresAt().Add(time.Duration(load[2]) * time.Millisecond)
	}
	return a, nil
}
