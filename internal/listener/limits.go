package listener

import (
	"bytes"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"radishshed.example/radishshed/internal/bodyreader"
	"radishshed.example/radishshed/internal/memorybudgeter"
)

const (
	// defaultMaxHeadBytes is four times the limit that catalogues state. Without a limit of its
	// own, the HTTP server reads heads of 1 MB.
	defaultMaxHeadBytes = 64 << 10
	defaultHeadTimeout  = 10 * time.Second
	// connectionBytes is reserved for each connection: a connection that sends nothing takes
	// 10 KB of resident memory, most of it for a stack and a read buffer.
	connectionBytes = 8 << 10
	// fieldBytes is what a parsed header field takes beside its bytes. Heads with fields of a
	// few bytes take many times their size.
	fieldBytes = 128
	// descriptorShare is the default share of descriptors of one listener.
	descriptorShare = 0.0625
	// minConnections lets a process with few descriptors work.
	minConnections = 32
	// logInterval is the time in which at most one line about each kind of refusal is logged.
	logInterval = 5 * time.Second
)

// LimitsConfig configures the limits on the clients of a process.
type LimitsConfig struct {
	// MaxHeadBytes limits the head of a request. Default: 64 KiB.
	MaxHeadBytes int
	// HeadTimeout limits the time in which a head must arrive. Default: 10 s.
	HeadTimeout time.Duration
	// MinBodyRate is the bytes a second below which ReadBody ends a sender. Default: that of
	// memorybudgeter.Progress.
	MinBodyRate int64
	// Budgeter holds the memory that connections, heads and bodies may take. Required.
	Budgeter *memorybudgeter.Budgeter
	// Metrics holds the counters of refusals. Required.
	Metrics metrics.Registry
	// Log receives a line about refusals, at most one of each kind in 5 s. Required.
	Log *zap.Logger
}

// Limits are the limits on the clients of a process, which all its listeners share.
type Limits struct {
	config                              LimitsConfig
	log                                 *zap.Logger
	connectionsRefused, headsOverBudget metrics.Counter
	bodiesOverBudget, sendersEnded      metrics.Counter
}

// NewLimits returns limits for the listeners of a process.
func NewLimits(c LimitsConfig) *Limits {
	if c.MaxHeadBytes == 0 {
		c.MaxHeadBytes = defaultMaxHeadBytes
	}
	if c.HeadTimeout == 0 {
		c.HeadTimeout = defaultHeadTimeout
	}
	return &Limits{
		config: c, log: RateLimited(c.Log),
		connectionsRefused: metrics.GetOrRegisterCounter("connectionsRefused", c.Metrics),
		headsOverBudget:    metrics.GetOrRegisterCounter("headsOverBudget", c.Metrics),
		bodiesOverBudget:   metrics.GetOrRegisterCounter("bodiesOverBudget", c.Metrics),
		sendersEnded:       metrics.GetOrRegisterCounter("sendersEnded", c.Metrics),
	}
}

// RateLimited returns a logger that logs at most one line with the same message in 5 s.
func RateLimited(log *zap.Logger) *zap.Logger {
	return log.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(core, logInterval, 1, 0)
	}))
}

// admitConnection decides on a connection beside the given number of others, and returns what is
// reserved for it.
func (l *Limits) admitConnection(open, maxOpen int) (*memorybudgeter.Reservation, bool) {
	reservation := l.config.Budgeter.Open()
	if open < maxOpen {
		if _, ok := reservation.Grow(connectionBytes).(memorybudgeter.Admit); ok {
			return reservation, true
		}
	}
	l.connectionsRefused.Inc(1)
	l.log.Warn("connections of clients refused", zap.Int("open", open), zap.Int("maxOpen", maxOpen),
		zap.Int64("bytesReserved", l.config.Budgeter.Used()), zap.Int64("counter", l.connectionsRefused.Count()))
	return nil, false
}

// admitHead decides on further bytes of a head.
func (l *Limits) admitHead(r *memorybudgeter.Reservation, read []byte) bool {
	parsed := int64(len(read) + fieldBytes*bytes.Count(read, []byte{'\n'}))
	if _, ok := r.Grow(parsed).(memorybudgeter.Admit); ok {
		return true
	}
	l.headsOverBudget.Inc(1)
	l.log.Warn("connections closed since no memory is left for the heads of requests",
		zap.Int64("bytesReserved", l.config.Budgeter.Used()), zap.Int64("counter", l.headsOverBudget.Count()))
	return false
}

// recordBody counts a body that was not read for the error, and logs it.
func (l *Limits) recordBody(r *http.Request, err error) {
	fields := []zap.Field{zap.String("path", r.URL.Path), zap.Int64("length", r.ContentLength), zap.Int64("bytesReserved", l.config.Budgeter.Used())}
	switch {
	case errors.Is(err, bodyreader.ErrNoMemory):
		l.bodiesOverBudget.Inc(1)
		l.log.Warn("requests refused since no memory is left for their bodies", append(fields, zap.Int64("counter", l.bodiesOverBudget.Count()))...)
	case errors.Is(err, os.ErrDeadlineExceeded):
		l.sendersEnded.Inc(1)
		l.log.Warn("requests refused since their bodies have not arrived in time", append(fields, zap.Int64("counter", l.sendersEnded.Count()))...)
	}
}

// maxConnections returns how many connections a listener accepts that has a share of the
// descriptors of the process.
func maxConnections(share float64) int {
	if share == 0 {
		share = descriptorShare
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return minConnections
	}
	const manyDescriptors = 1 << 20 // also stands for no limit
	return max(minConnections, int(share*float64(min(limit.Cur, manyDescriptors))))
}
