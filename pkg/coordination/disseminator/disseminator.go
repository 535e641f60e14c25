package disseminator

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"radishshed.example/radishshed/pkg/coordination/repeater"
)

// Link sends encoded updates to one peer, in order.
type Link interface {
	// SendUpdates queues the updates. It returns an error if the link is down.
	SendUpdates(data []byte) error
}

// Config configures a Disseminator.
type Config struct {
	// Table configures the table of entries.
	Table TableConfig
	// Interval is the time between two rounds of updates. A changed value is sent
	// immediately. Default: 250 ms.
	Interval time.Duration
	// OnChange, if set, is called with the entries that replaced an older version
	// or were added.
	OnChange func([]Entry)
	// Now returns the current time. Default: time.Now.
	Now func() time.Time
}

// Disseminator keeps a table in sync with the tables of its peers. It is safe
// for concurrent use.
type Disseminator struct {
	config Config
	sender *repeater.Repeater

	mutex sync.Mutex
	table *Table
	views map[Link]*View
}

// New returns a disseminator without links. Run starts sending.
func New(config Config) *Disseminator {
	if config.Interval == 0 {
		config.Interval = 250 * time.Millisecond
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.OnChange == nil {
		config.OnChange = func([]Entry) {}
	}
	d := &Disseminator{config: config, table: NewTable(config.Table), views: map[Link]*View{}}
	d.sender = repeater.New(repeater.Config{
		Interval: config.Interval, Step: func(context.Context) { d.sendUpdates() },
	})
	return d
}

// AddLink starts to send updates over the link.
func (d *Disseminator) AddLink(link Link) {
	d.mutex.Lock()
	d.views[link] = NewView()
	d.mutex.Unlock()
	d.sender.Trigger()
}

// RemoveLink stops sending updates over the link.
func (d *Disseminator) RemoveLink(link Link) {
	d.mutex.Lock()
	delete(d.views, link)
	d.mutex.Unlock()
}

// Put merges an entry published by this process or by one of its clients.
func (d *Disseminator) Put(e Entry) error {
	d.mutex.Lock()
	stored, valueChanged, err := d.table.Merge(e)
	d.mutex.Unlock()
	if stored {
		d.config.OnChange([]Entry{e})
	}
	if valueChanged {
		d.sender.Trigger()
	}
	return errors.Wrapf(err, "entry %q", e.key)
}

// Receive merges the encoded updates received over the link.
func (d *Disseminator) Receive(link Link, data []byte) error {
	updates, err := DecodeUpdates(data, d.config.Now())
	if err != nil {
		return err
	}
	d.mutex.Lock()
	view := d.views[link]
	if view == nil {
		view = NewView() // the link has been removed in the meantime
	}
	newer, valueChanged := d.table.Receive(view, updates)
	d.mutex.Unlock()
	if len(newer) > 0 {
		d.config.OnChange(newer)
	}
	if valueChanged {
		d.sender.Trigger()
	}
	return nil
}

// Flush sends pending updates immediately.
func (d *Disseminator) Flush() { d.sendUpdates() }

// Get returns the entry with the key, and whether its lease is unexpired.
func (d *Disseminator) Get(key string) (Entry, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.table.Get(key, d.config.Now())
}

// Lookup returns the entry with the key, whether or not its lease has expired. Expired entries are
// kept for TableConfig.ExpiredRetention.
func (d *Disseminator) Lookup(key string) (Entry, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.table.Lookup(key)
}

// Live returns the unexpired entries, ordered by key.
func (d *Disseminator) Live() []Entry {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.table.Live(d.config.Now())
}

// Run sends updates periodically until the context is cancelled.
func (d *Disseminator) Run(ctx context.Context) { d.sender.Run(ctx) }

func (d *Disseminator) sendUpdates() {
	now := d.config.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.table.PurgeExpired(now)
	for link, view := range d.views {
		updates := d.table.Updates(view, now)
		if len(updates) == 0 {
			continue
		}
		data, err := EncodeUpdates(updates, now)
		if err == nil {
			err = link.SendUpdates(data)
		}
		if err != nil {
			delete(d.views, link) // encoding failed or the link is down; the peer gets all entries over its next link, which has a new view
		}
	}
}
