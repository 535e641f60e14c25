package configurer

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"
)

// watchInterval is the time between two reads of the settings file, which may change
// without a signal.
const watchInterval = time.Second

// WatcherConfig configures Watch.
type WatcherConfig struct {
	// Path is the path of the settings file. Required.
	Path string
	// Role is the kind of process that the settings are for. Required.
	Role Role
	// OnChange is called with the new settings after a change. Required.
	OnChange func(Settings)
	// Log receives log entries. Required.
	Log *zap.Logger
}

// watcher reloads the settings of a process when their file has changed. It checks
// the file periodically and on SIGHUP. Invalid settings are logged and ignored.
type watcher struct {
	config  WatcherConfig
	signals chan os.Signal
	data    []byte
}

// Watch handles SIGHUP, which would otherwise terminate the process, and watches the
// settings file until the context is cancelled. From then on SIGHUP is ignored: a process that
// stops finishes its requests.
func Watch(ctx context.Context, c WatcherConfig) {
	w := &watcher{config: c, signals: make(chan os.Signal, 1)}
	w.data, _ = os.ReadFile(c.Path) // the caller has just loaded the file; an error is reported by the next check
	signal.Notify(w.signals, syscall.SIGHUP)
	go w.run(ctx)
}

func (w *watcher) run(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.signals:
			w.reloadIfChanged("signal")
		case <-ticker.C:
			w.reloadIfChanged("change")
		}
	}
}

// reloadIfChanged reloads the settings if their file has changed.
func (w *watcher) reloadIfChanged(cause string) {
	data, err := os.ReadFile(w.config.Path)
	if err != nil {
		w.config.Log.Warn("cannot read the settings", zap.String("cause", cause), zap.Error(err))
		return
	}
	if bytes.Equal(data, w.data) {
		if cause == "signal" {
			w.config.Log.Info("settings unchanged", zap.String("cause", cause))
		}
		return
	}
	settings, err := Load(w.config.Path, w.config.Role)
	if err != nil {
		w.config.Log.Warn("settings with a mistake ignored", zap.String("cause", cause), zap.Error(err))
		return
	}
	w.data = data
	w.config.Log.Info("settings reloaded", zap.String("cause", cause), zap.Strings("controlAddresses", settings.ControlAddresses()))
	w.config.OnChange(settings)
}
