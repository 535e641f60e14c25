package commandrunner

import (
	"context"
	"os"
	"runtime/debug"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"radishshed.example/radishshed/internal/configurer"
	"radishshed.example/radishshed/internal/controller"
	"radishshed.example/radishshed/internal/gateway"
	"radishshed.example/radishshed/internal/recorder"
	"radishshed.example/radishshed/internal/router"
	"radishshed.example/radishshed/internal/simulator"
	"radishshed.example/radishshed/platform"
)

type settingsOption struct {
	Settings string `short:"s" long:"settings" required:"true" value-name:"FILE" description:"JSON file with the settings of this process"`
}

// logWriter receives the log of a router, gateway or control VM. Run closes it before the process exits.
var logWriter = recorder.NewWriter(os.Stdout)

// heapPercent is the share of the memory of a process that the heap may take, in
// percent. Stacks and network buffers need the rest.
const heapPercent = 70

// loadSettings reads the settings, sets the memory limit and opens the log.
func (o settingsOption) loadSettings(role configurer.Role) (configurer.Settings, *zap.Logger, error) {
	settings, err := configurer.Load(o.Settings, role)
	if err != nil {
		return settings, nil, usageError{err}
	}
	if limit := settings.MemoryLimitBytes(); limit > 0 {
		debug.SetMemoryLimit(limit / 100 * heapPercent)
	}
	log, err := recorder.NewLogger(logWriter, settings.LogLevel(), settings.VM(), settings.DataCentre())
	return settings, log, err
}

type routerCommand struct {
	command
	settingsOption
}

// Execute implements flags.Commander.
func (c *routerCommand) Execute([]string) error {
	settings, log, err := c.loadSettings(configurer.Router{})
	if err != nil {
		return err
	}
	r, err := router.New(router.Config{Settings: settings, Log: log})
	if err != nil {
		return err
	}
	configurer.Watch(c.ctx, configurer.WatcherConfig{
		Path: c.Settings, Role: configurer.Router{}, Log: log,
		OnChange: func(configurer.Settings) { log.Warn("settings have changed: restart the router to apply them") },
	})
	return logExit(log, r.Run(c.ctx))
}

type gatewayCommand struct {
	command
	settingsOption
}

// Execute implements flags.Commander.
func (c *gatewayCommand) Execute([]string) error {
	settings, log, err := c.loadSettings(configurer.Router{})
	if err != nil {
		return err
	}
	g, err := gateway.New(gateway.Config{Settings: settings, Protocol: platform.Protocol{}, Log: log})
	if err != nil {
		return err
	}
	configurer.Watch(c.ctx, configurer.WatcherConfig{Path: c.Settings, Role: configurer.Router{}, OnChange: g.Reload, Log: log})
	return logExit(log, g.Run(c.ctx))
}

type controlCommand struct {
	command
	settingsOption
	Platform bool `long:"platform" description:"serve the platform's HTTP API in addition to that for operators"`
	Init     bool `long:"init" description:"initialise the data folder as that of the first member of a new fleet, and exit"`
}

// Execute implements flags.Commander.
func (c *controlCommand) Execute([]string) error {
	settings, log, err := c.loadSettings(configurer.Control{})
	if err != nil {
		return err
	}
	if c.Init {
		return controller.Init(settings.DataFolder(), settings.VM())
	}
	config := controller.Config{Settings: settings, Log: log}
	if c.Platform {
		config.Routes = func(routes chi.Router, control *controller.Controller) { platform.Mount(routes, control) }
	}
	control, err := controller.New(config)
	if err != nil {
		return err
	}
	configurer.Watch(c.ctx, configurer.WatcherConfig{Path: c.Settings, Role: configurer.Control{}, OnChange: control.Reload, Log: log})
	return logExit(log, control.Run(c.ctx))
}

// logExit logs the end of a daemon. A daemon that was stopped by a signal did not
// fail.
func logExit(log *zap.Logger, err error) error {
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	log.Info("ended", recorder.Err(err))
	return err
}

type targetCommand struct {
	command
	Name       string        `long:"name" required:"true" description:"name of the target"`
	Address    string        `long:"address" required:"true" value-name:"HOST:PORT" description:"address at which the target serves"`
	DataCentre string        `long:"data-centre" required:"true" description:"data centre of the target"`
	Routers    []string      `long:"router" required:"true" value-name:"HOST:PORT" description:"caller address of a router to announce to; may be repeated"`
	KeyFile    string        `long:"key-file" required:"true" value-name:"FILE" description:"file with the target's key"`
	Services   []string      `long:"service" required:"true" description:"service that the target serves; may be repeated"`
	Capacity   int64         `long:"capacity" default:"8" description:"number of requests that run at the same time"`
	TokenTime  time.Duration `long:"token-time" default:"2ms" description:"time to generate one token while a single request is running"`
	Limit      float64       `long:"request-limit" description:"requests a second that the target says it takes from all routers together; none if absent"`
	ReportLag  time.Duration `long:"report-lag" default:"0s" description:"how old the load is when it is reported"`
}

// Execute implements flags.Commander.
func (c *targetCommand) Execute([]string) error {
	key, err := os.ReadFile(c.KeyFile)
	if err != nil {
		return usageError{errors.Wrap(err, "--key-file")}
	}
	log, err := recorder.NewLogger(os.Stderr, "", c.Name, c.DataCentre)
	if err != nil {
		return err
	}
	return simulator.New(simulator.Config{
		Name:            c.Name,
		Address:         c.Address,
		DataCentre:      c.DataCentre,
		Routers:         c.Routers,
		Key:             strings.TrimSpace(string(key)),
		Services:        c.Services,
		Capacity:        c.Capacity,
		TokenTime:       c.TokenTime,
		LoadReportDelay: c.ReportLag,
		RequestLimit:    c.Limit,
		Crash:           func() { os.Exit(exitFailed) },
		Log:             log,
	}).Run(c.ctx)
}
