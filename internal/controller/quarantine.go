package controller

import (
	"context"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"radishshed.example/radishshed/internal/limitsharer"
	"radishshed.example/radishshed/internal/quarantiner"
	"radishshed.example/radishshed/internal/recorder"
	"radishshed.example/radishshed/internal/verdictsharer"
	"radishshed.example/radishshed/pkg/coordination/disseminator"
	"radishshed.example/radishshed/pkg/coordination/repeater"
	"radishshed.example/radishshed/pkg/state/journaler"
)

const (
	quarantineInterval = 100 * time.Millisecond
	// quarantineFile holds the verdicts that bar requests, so that they outlast a
	// restart of all processes at once.
	quarantineFile = "quarantine"
)

// openQuarantine creates the parts that share with routers what is known of requests and
// targets, and restores the verdicts of the quarantine file. A file that cannot be read is
// as good as none: the verdicts are also held by the other processes.
func (c *Controller) openQuarantine() {
	c.quarantiner = quarantiner.New(quarantiner.Config{VM: c.settings.VM()})
	c.disseminator = disseminator.New(disseminator.Config{OnChange: func(entries []disseminator.Entry) {
		now := time.Now()
		c.verdicts.Apply(entries, now)
		c.limits.Apply(entries, now)
		c.origins.Apply(entries, now)
	}})
	c.openOrigins()
	c.limits = limitsharer.New(limitsharer.Config{
		VM: c.settings.VM(), Candidates: c.controlVMs.List, Publish: c.disseminator.Put, Metrics: c.metrics, Log: c.log,
		Peer: func(string) (limitsharer.Peer, bool) { return nil, false }, // control sends no requests to targets
	})
	c.verdicts = verdictsharer.New(verdictsharer.Config{Quarantiner: c.quarantiner, Publish: c.disseminator.Put, Log: c.log})
	data, err := os.ReadFile(c.quarantinePath())
	if os.IsNotExist(err) {
		return
	}
	now := time.Now()
	var barred []quarantiner.Verdict
	if err == nil {
		barred, err = quarantiner.DecodeFile(data, now)
	}
	if err != nil {
		c.log.Warn("cannot restore the verdicts of the quarantine file", recorder.Err(err))
		return
	}
	for _, v := range barred {
		c.quarantiner.Apply(v)
		c.verdicts.Publish(v, now)
	}
}

func (c *Controller) quarantinePath() string {
	return filepath.Join(c.settings.DataFolder(), quarantineFile)
}

// runQuarantine decides by the evidence that the routers have sent.
func (c *Controller) runQuarantine(ctx context.Context) {
	repeater.New(repeater.Config{Interval: quarantineInterval, Step: func(context.Context) {
		c.verdicts.Decide(time.Now())
	}}).Run(ctx)
}

// runQuarantineFile keeps the quarantine file up to date. It is apart from the decisions,
// which must not wait for the disk.
func (c *Controller) runQuarantineFile(ctx context.Context) {
	stored := ""
	repeater.New(repeater.Config{Interval: quarantineInterval, Step: func(context.Context) {
		now := time.Now()
		barred := c.quarantiner.Barred(now)
		versions := versionsOf(barred)
		if versions == stored {
			return
		}
		data, err := quarantiner.EncodeFile(barred, now)
		if err == nil {
			err = journaler.ReplaceFile(c.quarantinePath(), data)
		}
		if err != nil {
			c.log.Warn("cannot write the quarantine file yet", recorder.Err(err))
			return
		}
		stored = versions
		c.log.Info("quarantine file written", zap.Int("subjects", len(barred)))
	}}).Run(ctx)
}

// versionsOf returns the subjects and epochs of the verdicts as one text.
func versionsOf(verdicts []quarantiner.Verdict) string {
	var b strings.Builder
	for _, v := range verdicts {
		b.WriteString(v.Subject().String() + "@" + strconv.FormatUint(v.Epoch(), 36) + " ")
	}
	return b.String()
}
