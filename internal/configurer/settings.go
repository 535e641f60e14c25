package configurer

import (
	"crypto/tls"
	"time"

	"radishshed.example/radishshed/pkg/state/archiver"
)

// Settings are the validated settings of a process.
type Settings struct {
	vm                   string
	dataCentre           string
	dataCentres          []string
	linkAddress          string
	advertisedAddress    string
	operatorAddress      string
	callerAddress        string
	controlAddresses     []string
	dataFolder           string
	fleetKey             []byte
	operatorKeyHashes    [][32]byte
	serverTLS            *tls.Config
	clientTLS            *tls.Config
	logLevel             string
	drainDelay           time.Duration
	gracePeriod          time.Duration
	seedHosts            []string
	readyAddress         string
	unauthenticatedLinks bool
	firstStart           bool
	memoryLimitBytes     int64
	linkBytesPerSecond   float64
	retryBudget          RetryBudget
	maxEventBytes        int
	regions              map[string]string
	maxHeadBytes         int
	headTimeout          time.Duration
	maxConnections       int
	minBodyRate          int64
}

// RetryBudget limits the retries of the fleet: in each window, the fleet may retry a
// fraction of a service's requests plus a fixed number.
type RetryBudget struct {
	ratio        float64
	extraRetries int64
	window       time.Duration
}

// Ratio returns the fraction of a service's requests that may be retried.
func (r RetryBudget) Ratio() float64 { return r.ratio }

// ExtraRetries returns how many retries are allowed in addition to that fraction.
func (r RetryBudget) ExtraRetries() int64 { return r.extraRetries }

// Window returns the period over which requests and retries are counted.
func (r RetryBudget) Window() time.Duration { return r.window }

// SeedHosts returns the hosts of the seeds: control VMs that every process dials,
// and that form the fleet at its first start.
func (s Settings) SeedHosts() []string { return s.seedHosts }

// ReadyAddress returns the address at which the platform checks whether a router is
// ready.
func (s Settings) ReadyAddress() string { return s.readyAddress }

// UnauthenticatedLinks reports whether links use a well-known key instead of a fleet
// key, because only processes of the fleet can reach the network.
func (s Settings) UnauthenticatedLinks() bool { return s.unauthenticatedLinks }

// FirstStart reports whether the whole fleet starts for the first time.
func (s Settings) FirstStart() bool { return s.firstStart }

// MemoryLimitBytes returns the memory that the process may use, or zero if it is
// not limited.
func (s Settings) MemoryLimitBytes() int64 { return s.memoryLimitBytes }

// LinkBytesPerSecond returns the bandwidth of the VM's network link in each
// direction, or zero if it is unknown.
func (s Settings) LinkBytesPerSecond() float64 { return s.linkBytesPerSecond }

// MaxEventBytes returns the size limit of one event of a target's stream.
func (s Settings) MaxEventBytes() int { return s.maxEventBytes }

// Regions returns the region of each data centre that has one.
func (s Settings) Regions() map[string]string { return s.regions }

// MaxHeadBytes returns the size limit of the head of a request, or zero for the default.
func (s Settings) MaxHeadBytes() int { return s.maxHeadBytes }

// HeadTimeout returns how long the head of a request may take to arrive, or zero for the default.
func (s Settings) HeadTimeout() time.Duration { return s.headTimeout }

// MaxConnections returns how many connections of callers are open at most, or zero for a part of
// the descriptors of the process.
func (s Settings) MaxConnections() int { return s.maxConnections }

// MinBodyRate returns the bytes a second below which the sender of a body is ended, or zero for
// the default.
func (s Settings) MinBodyRate() int64 { return s.minBodyRate }

// RetryBudget returns the limits on the retries of the fleet.
func (s Settings) RetryBudget() RetryBudget { return s.retryBudget }

// VM returns the name of this VM.
func (s Settings) VM() string { return s.vm }

// DataCentre returns the data centre that this VM is in.
func (s Settings) DataCentre() string { return s.dataCentre }

// DataCentres returns all data centres of the fleet.
func (s Settings) DataCentres() []string { return s.dataCentres }

// LinkAddress returns the address at which links from other processes are accepted.
func (s Settings) LinkAddress() string { return s.linkAddress }

// AdvertisedAddress returns the address at which other processes reach the link
// address.
func (s Settings) AdvertisedAddress() string { return s.advertisedAddress }

// OperatorAddress returns the address that serves operators and the platform.
func (s Settings) OperatorAddress() string { return s.operatorAddress }

// CallerAddress returns the address that serves callers and targets. Routers only.
func (s Settings) CallerAddress() string { return s.callerAddress }

// ControlAddresses returns the link addresses of all control VMs.
func (s Settings) ControlAddresses() []string { return s.controlAddresses }

// DataFolder returns the folder of the durable state. Control VMs only.
func (s Settings) DataFolder() string { return s.dataFolder }

// FleetKey returns the secret that all processes of the fleet share.
func (s Settings) FleetKey() []byte { return s.fleetKey }

// OperatorCredentials returns operator credentials that are valid in addition to
// those in tickets, so that an operator can submit the first ticket.
func (s Settings) OperatorCredentials() archiver.Credentials {
	return archiver.NewCredentials(s.operatorKeyHashes, nil)
}

// ServerTLS returns the TLS configuration of the listeners, or nil.
func (s Settings) ServerTLS() *tls.Config { return s.serverTLS }

// ClientTLS returns the TLS configuration for dialling other processes, or nil.
func (s Settings) ClientTLS() *tls.Config { return s.clientTLS }

// LogLevel returns the lowest level that is logged.
func (s Settings) LogLevel() string { return s.logLevel }

// DrainDelay returns how long a process that shuts down continues to accept
// requests, so that the platform's load balancer can stop sending them.
func (s Settings) DrainDelay() time.Duration { return s.drainDelay }

// GracePeriod returns how long after SIGTERM the platform kills the process, or zero if that
// is not known.
func (s Settings) GracePeriod() time.Duration { return s.gracePeriod }
