package controller

import (
	"context"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"radishshed.example/radishshed/internal/messenger"
	"radishshed.example/radishshed/internal/originsharer"
	"radishshed.example/radishshed/internal/recorder"
	"radishshed.example/radishshed/pkg/coordination/originstorer"
	"radishshed.example/radishshed/pkg/coordination/repeater"
	"radishshed.example/radishshed/pkg/state/journaler"
)

const (
	// originFolder holds the versions that began streams, so that they outlast a restart of
	// all processes at once.
	originFolder = "origins"
	// originInterval is how often new origins are written. Those that are newer are lost with
	// a restart of all processes; a shorter interval would hold up the journal of the
	// replicated log on a slow disk.
	originInterval = 250 * time.Millisecond
	// maxOriginJournalBytes is the size from which the journal is compacted.
	maxOriginJournalBytes = 1 << 20
	// maxUnwrittenOrigins bounds the origins that wait for a disk that does not write.
	maxUnwrittenOrigins = 20_000
)

// The kinds of records in the journal of origins.
const (
	versionsRecord = 'v'
	originsRecord  = 'o'
)

// originKeeper keeps the origins of streams and the known versions in a journal of its own.
// Nothing waits for it.
type originKeeper struct {
	folder string
	log    *zap.Logger
	sharer *originsharer.Sharer

	journal  *journaler.Journal // nil until it could be opened; used only by run after the start
	versions []originstorer.Version

	mutex     sync.Mutex
	unwritten []originstorer.Origin
	dropped   int
}

// newOriginSharer returns the sharer of the versions that began streams. A control VM sends
// no origins: it stores those of routers.
func (c *Controller) newOriginSharer() *originsharer.Sharer {
	none := func() []originsharer.Peer { return nil }
	return originsharer.New(originsharer.Config{
		Control: none, Routers: none, Disconnected: func() bool { return false }, Publish: c.disseminator.Put, Log: c.log,
	})
}

// receiveOrigins stores the origins that a router has sent.
func (c *Controller) receiveOrigins(body []byte) error {
	origins, err := c.origins.Receive(body, time.Now())
	c.originKeeper.add(origins)
	return err
}

// add queues origins to be written.
func (k *originKeeper) add(origins []originstorer.Origin) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	room := max(0, maxUnwrittenOrigins-len(k.unwritten))
	taken := min(room, len(origins))
	k.dropped += len(origins) - taken
	k.unwritten = append(k.unwritten, origins[:taken]...)
}

// open opens the journal and restores what it holds. A journal that cannot be read is as good
// as none: the streams that it names cannot go on unless one version is known.
func (k *originKeeper) open() {
	contents, err := k.openJournal()
	if err != nil {
		k.log.Warn("cannot open the journal of the origins of streams", recorder.Err(err))
		return
	}
	now := time.Now()
	origins := 0
	for _, record := range append([][]byte{contents.Snapshot()}, contents.Records()...) {
		origins += k.restore(record, now)
	}
	k.log.Info("origins of streams restored", zap.Int("origins", origins), zap.Int("versions", len(k.sharer.Storer().AllVersions(now))))
}

func (k *originKeeper) openJournal() (journaler.Contents, error) {
	if err := os.MkdirAll(k.folder, 0o700); err != nil {
		return journaler.Contents{}, err
	}
	journal, contents, err := journaler.Open(k.folder)
	k.journal = journal
	return contents, err
}

// restore restores one record, and returns how many origins it held. Remaining times are
// counted from now: nobody knows how long the process was down.
func (k *originKeeper) restore(record []byte, now time.Time) int {
	if len(record) == 0 {
		return 0
	}
	var err error
	switch record[0] {
	case versionsRecord:
		var versions []originstorer.Version
		versions, err = originstorer.DecodeVersions(record[1:])
		for _, v := range versions {
			k.sharer.Storer().See(v, now, now)
		}
	case originsRecord:
		origins, receiveErr := k.sharer.Receive(record[1:], now)
		if receiveErr == nil {
			return len(origins)
		}
		err = receiveErr
	}
	if err != nil {
		k.log.Warn("cannot restore the origins of some streams", recorder.Err(err))
	}
	return 0
}

// run writes what is new until the context ends, and then once more.
func (k *originKeeper) run(ctx context.Context) {
	repeater.New(repeater.Config{Interval: originInterval, Step: func(context.Context) { k.write(time.Now()) }}).Run(ctx)
	k.write(time.Now())
	if k.journal != nil {
		if err := k.journal.Close(); err != nil {
			k.log.Warn("cannot close the journal of the origins of streams", recorder.Err(err))
		}
	}
}

// write appends the new origins and versions to the journal. What could not be written is
// written next time.
func (k *originKeeper) write(now time.Time) {
	k.mutex.Lock()
	unwritten, dropped := k.unwritten, k.dropped
	k.unwritten, k.dropped = nil, 0
	k.mutex.Unlock()
	if dropped > 0 {
		k.log.Warn("origins of streams not written: the disk does not keep up", zap.Int("origins", dropped))
	}
	versions := k.sharer.Storer().AllVersions(now)
	err := k.append(unwritten, versions, now)
	if err != nil {
		k.log.Warn("cannot write the origins of streams yet", zap.Int("origins", len(unwritten)), recorder.Err(err))
		k.add(unwritten)
		return
	}
	k.versions = versions
}

func (k *originKeeper) append(origins []originstorer.Origin, versions []originstorer.Version, now time.Time) error {
	var records [][]byte
	if !slices.Equal(versions, k.versions) {
		data, err := originstorer.EncodeVersions(versions)
		if err != nil {
			return err
		}
		records = append(records, append([]byte{versionsRecord}, data...))
	}
	if len(origins) > 0 {
		data, err := originstorer.EncodeOrigins(origins, now)
		if err != nil {
			return err
		}
		records = append(records, append([]byte{originsRecord}, data...))
	}
	if len(records) == 0 {
		return nil
	}
	if k.journal == nil {
		if _, err := k.openJournal(); err != nil {
			return err
		}
	}
	if k.journal.Size() > maxOriginJournalBytes {
		return k.compact(versions, now)
	}
	return k.journal.Append(records)
}

// compact replaces the journal by what is still of use.
func (k *originKeeper) compact(versions []originstorer.Version, now time.Time) error {
	storer := k.sharer.Storer()
	data, err := originstorer.EncodeOrigins(storer.Origins(now), now)
	if err != nil {
		return err
	}
	versionData, err := originstorer.EncodeVersions(versions)
	if err != nil {
		return err
	}
	return k.journal.Compact(append([]byte{versionsRecord}, versionData...), [][]byte{append([]byte{originsRecord}, data...)})
}

// openOrigins creates what stores the versions that began streams.
func (c *Controller) openOrigins() {
	c.origins = c.newOriginSharer()
	c.originKeeper = &originKeeper{folder: filepath.Join(c.settings.DataFolder(), originFolder), log: c.log, sharer: c.origins}
	c.originKeeper.open()
}

// handleOrigins handles a message about the versions that began streams.
func (c *Controller) handleOrigins(kind uint8, body []byte) ([]byte, error) {
	if kind == messenger.StreamOrigins {
		return nil, c.receiveOrigins(body)
	}
	return c.origins.HandleCall(body, time.Now())
}
