// Package disseminator distributes short-lived entries to all processes of a
// fleet over the links between them.
//
// Each entry has a key, a version and a lease. The version consists of the
// incarnation of the entry's owner and a sequence number; in every process a
// higher version replaces a lower one. Only a higher version renews the lease,
// so that stale copies in circulation cannot keep alive the entry of a process
// that has left the fleet.
//
// A Table is a deterministic state machine: the current time is an argument of
// each operation. A link delivers messages in order and without loss until it
// fails. Each end of a link therefore keeps a View, which holds the versions
// that the peer is known to have, and sends only entries with a newer version.
// A new link starts with an empty View, so that the peer receives every entry
// that it missed.
package disseminator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Version orders the states of an entry.
type Version struct {
	incarnation uint64
	sequence    uint64
}

// NewVersion returns the version with the given incarnation and sequence
// number.
func NewVersion(incarnation, sequence uint64) Version { return Version{incarnation, sequence} }

// Incarnation returns the incarnation of the owner that published the entry.
func (v Version) Incarnation() uint64 { return v.incarnation }

// Sequence returns the sequence number within the owner's incarnation.
func (v Version) Sequence() uint64 { return v.sequence }

// Compare returns a negative number if v is older than other, zero if they are
// equal, and a positive number if v is newer.
func (v Version) Compare(other Version) int {
	return cmp.Or(cmp.Compare(v.incarnation, other.incarnation), cmp.Compare(v.sequence, other.sequence))
}

// Entry is one state of a key. The value changes rarely and is sent only after
// a change. The load, such as the number of requests at a target, is sent with
// each version.
type Entry struct {
	key       string
	version   Version
	value     []byte
	load      []byte
	expiresAt time.Time

	// valueSequence is the sequence at which the value last changed.
	valueSequence uint64
}

// EntryConfig holds the fields of an entry.
type EntryConfig struct {
	// Key identifies the entry. Required.
	Key string
	// Version orders the entry's states. Required.
	Version Version
	// Value is the part of the entry that changes rarely.
	Value []byte
	// Load is the part of the entry that changes often.
	Load []byte
	// ExpiresAt is when the lease expires.
	ExpiresAt time.Time
}

// NewEntry returns an entry with the given fields.
func NewEntry(c EntryConfig) Entry {
	return Entry{
		key:           c.Key,
		version:       c.Version,
		value:         c.Value,
		load:          c.Load,
		expiresAt:     c.ExpiresAt,
		valueSequence: c.Version.sequence,
	}
}

// Key returns the entry's key.
func (e Entry) Key() string { return e.key }

// Version returns the entry's version.
func (e Entry) Version() Version { return e.version }

// Value returns the part that changes rarely.
func (e Entry) Value() []byte { return e.value }

// Load returns the part that changes often.
func (e Entry) Load() []byte { return e.load }

// ExpiresAt returns when the lease expires.
func (e Entry) ExpiresAt() time.Time { return e.expiresAt }

// TableConfig configures a Table.
type TableConfig struct {
	// MaxEntries limits the number of entries. Once it is reached, new keys are
	// rejected. Default: 100,000.
	MaxEntries int
	// ExpiredRetention is how long an expired entry is kept, so that an older copy
	// cannot revive it. Default: 10 minutes.
	ExpiredRetention time.Duration
}

// ErrFull is returned for a new key when the table holds MaxEntries entries.
var ErrFull = errors.New("entry table is full")

// Table holds the entries that a process knows. It is not safe for concurrent
// use.
type Table struct {
	config  TableConfig
	entries map[string]Entry
}

// NewTable returns an empty table.
func NewTable(config TableConfig) *Table {
	if config.MaxEntries == 0 {
		config.MaxEntries = 100_000
	}
	if config.ExpiredRetention == 0 {
		config.ExpiredRetention = 10 * time.Minute
	}
	return &Table{config, map[string]Entry{}}
}

// Merge stores the entry if its version is newer than the stored one. It
// reports whether it stored the entry, and whether the value or the owner's
// incarnation changed.
func (t *Table) Merge(e Entry) (stored, valueChanged bool, err error) {
	old, known := t.entries[e.key]
	if known && e.version.Compare(old.version) <= 0 {
		return false, false, nil
	}
	if !known && len(t.entries) >= t.config.MaxEntries {
		return false, false, ErrFull
	}
	valueChanged = !known || !slices.Equal(old.value, e.value) || old.version.incarnation != e.version.incarnation
	if !valueChanged {
		e.valueSequence = old.valueSequence
	}
	t.entries[e.key] = e
	return true, valueChanged, nil
}

// Get returns the entry with the key, and whether its lease is unexpired.
func (t *Table) Get(key string, now time.Time) (Entry, bool) {
	e, ok := t.entries[key]
	return e, ok && now.Before(e.expiresAt)
}

// Lookup returns the entry with the key, whether or not its lease has expired.
func (t *Table) Lookup(key string) (Entry, bool) {
	e, ok := t.entries[key]
	return e, ok
}

// Live returns the unexpired entries, ordered by key.
func (t *Table) Live(now time.Time) []Entry {
	var live []Entry
	for _, key := range slices.Sorted(maps.Keys(t.entries)) {
		if e := t.entries[key]; now.Before(e.expiresAt) {
			live = append(live, e)
		}
	}
	return live
}

// PurgeExpired drops the entries that expired more than ExpiredRetention ago.
func (t *Table) PurgeExpired(now time.Time) {
	for key, e := range t.entries {
		if now.After(e.expiresAt.Add(t.config.ExpiredRetention)) {
			delete(t.entries, key)
		}
	}
}

// Len returns the number of entries, including expired ones.
func (t *Table) Len() int { return len(t.entries) }

// View holds the versions that the peer of a link is known to have.
type View struct{ known map[string]Version }

// NewView returns the empty view of a new link.
func NewView() *View { return &View{map[string]Version{}} }

// Update is an entry sent to a peer. If it has no value, the receiver keeps
// the value that it already has.
type Update struct {
	entry    Entry
	hasValue bool
}

// NewUpdate returns an update with the whole entry, for a peer that need not have any part of
// it.
func NewUpdate(e Entry) Update { return Update{e, true} }

// Updates returns the unexpired entries that are newer than the versions in
// the view, and records in the view that the peer has them.
func (t *Table) Updates(v *View, now time.Time) []Update {
	var updates []Update
	for key, e := range t.entries {
		if !now.Before(e.expiresAt) {
			continue
		}
		known, ok := v.known[key]
		if ok && known.Compare(e.version) >= 0 {
			continue
		}
		hasValue := !ok || known.incarnation != e.version.incarnation || known.sequence < e.valueSequence
		updates = append(updates, Update{e, hasValue})
		v.known[key] = e.version
	}
	slices.SortFunc(updates, func(a, b Update) int { return cmp.Compare(a.entry.key, b.entry.key) })
	if len(v.known) > 2*len(t.entries)+16 {
		v.prune(t)
	}
	return updates
}

func (v *View) prune(t *Table) {
	for key := range v.known {
		if _, ok := t.entries[key]; !ok {
			delete(v.known, key)
		}
	}
}

// Receive merges updates from the peer of a link and records their versions in
// the view. It returns the entries that were newer than the stored ones and
// whether the value of any of them changed.
func (t *Table) Receive(v *View, updates []Update) (newer []Entry, valueChanged bool) {
	for _, u := range updates {
		e := u.entry
		if known := v.known[e.key]; known.Compare(e.version) < 0 {
			v.known[e.key] = e.version
		}
		if !u.hasValue {
			old, ok := t.entries[e.key]
			if !ok || old.version.incarnation != e.version.incarnation {
				continue // the value is unknown until an update that contains one arrives
			}
			e.value = old.value
		}
		stored, changed, err := t.Merge(e)
		if err != nil || !stored {
			continue
		}
		newer = append(newer, t.entries[e.key])
		valueChanged = valueChanged || changed
	}
	return newer, valueChanged
}
