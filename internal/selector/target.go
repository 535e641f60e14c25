// Package selector knows the targets that have announced themselves and chooses
// one for each request.
package selector

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"radishshed.example/radishshed/pkg/coordination/disseminator"
)

const (
	// keyPrefix marks the entries of the disseminator that are targets.
	keyPrefix = "target/"
	// LeaseDuration is how long a target counts as present after an announcement.
	LeaseDuration = 3 * time.Second

	maxNameBytes = 128
	maxServices  = 64
)

// State is what a target says of itself. It is sealed: Serving and Leaving are
// its only variants.
type State interface {
	// String returns the name used in announcements.
	String() string
	isState()
}

// Serving targets take new work.
type Serving struct{}

// Leaving targets finish what they have. Within one incarnation a target never
// comes back from leaving.
type Leaving struct{}

func (Serving) String() string { return "serving" }
func (Leaving) String() string { return "leaving" }

func (Serving) isState() {}
func (Leaving) isState() {}

// Announcement is what a target tells any router about once a second.
type Announcement struct {
	name        string
	address     string
	dataCentre  string
	incarnation uint64
	sequence    uint64
	services    []string
	capacity    int64
	state       State
	load        Load
}

// Load is how busy a target is, as it reports with a lag.
type Load struct {
	running int64
	waiting int64
}

// Running returns the number of requests that the target works on.
func (l Load) Running() int64 { return l.running }

// Waiting returns the number of requests that wait inside the target.
func (l Load) Waiting() int64 { return l.waiting }

// Name returns the target's name.
func (a Announcement) Name() string { return a.name }

type jsonAnnouncement struct {
	Name        string   `json:"name"`
	Address     string   `json:"address"`
	DataCentre  string   `json:"dataCentre"`
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

// DecodeAnnouncement parses and checks the body of an announcement.
func DecodeAnnouncement(data []byte) (Announcement, error) {
	var w jsonAnnouncement
	if err := json.Unmarshal(data, &w); err != nil {
		return Announcement{}, errors.Wrap(err, "announcement")
	}
	a := Announcement{
		name:        w.Name,
		address:     w.Address,
		dataCentre:  w.DataCentre,
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
	switch {
	case w.Name == "" || len(w.Name) > maxNameBytes:
		return a, errors.New("announcement: name is missing or too long")
	case w.Address == "":
		return a, errors.New("announcement: address is missing")
	case w.Incarnation == 0 || w.Sequence == 0:
		return a, errors.New("announcement: incarnation and sequence must be one or more")
	case len(w.Services) == 0 || len(w.Services) > maxServices:
		return a, errors.Errorf("announcement: services must name 1 to %d services", maxServices)
	case w.Capacity <= 0 || w.Load.Running < 0 || w.Load.Waiting < 0:
		return a, errors.New("announcement: capacity must be positive and load must not be negative")
	}
	return a, nil
}

// Entry returns the form in which the announcement is spread.
func (a Announcement) Entry(now time.Time) (disseminator.Entry, error) {
	value, err := json.Marshal(jsonAnnouncement{
		Name: a.name, Address: a.address, DataCentre: a.dataCentre,
		Incarnation: a.incarnation, Sequence: 1, Services: a.services,
		Capacity: a.capacity, State: a.state.String(),
	})
	if err != nil {
		return disseminator.Entry{}, errors.Wrap(err, "encode announcement")
	}
	load, err := json.Marshal([2]int64{a.load.running, a.load.waiting})
	if err != nil {
		return disseminator.Entry{}, errors.Wrap(err, "encode load")
	}
	return disseminator.NewEntry(disseminator.EntryConfig{
		Key:       keyPrefix + a.name,
		Version:   disseminator.NewVersion(a.incarnation, a.sequence),
		Value:     value,
		Load:      load,
		ExpiresAt: now.Add(LeaseDuration),
	}), nil
}

// announcementFrom is the inverse of Announcement.Entry.
func announcementFrom(e disseminator.Entry) (Announcement, error) {
	a, err := DecodeAnnouncement(e.Value())
	if err != nil {
		return a, err
	}
	var load [2]int64
	if err := json.Unmarshal(e.Load(), &load); err != nil {
		return a, errors.Wrap(err, "decode load")
	}
	a.sequence = e.Version().Sequence()
	a.load = Load{load[0], load[1]}
	return a, nil
}
