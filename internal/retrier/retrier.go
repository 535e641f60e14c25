// Package retrier decides whether a request may be sent to another target.
//
// It implements a retry budget, which prevents retry storms: if many targets fail at
// once, unlimited retries would use up the remaining capacity. In each window the fleet
// may retry a fraction of a service's requests plus a fixed number. Each router retries
// at most that fraction of its own requests plus an equal share of the fixed number, so
// that the fleet stays within the budget without messages between routers.
package retrier

import (
	"sync"
	"time"
)

const (
	// bucketCount is the number of buckets that a sliding window consists of.
	bucketCount = 20
	// safetyFactor is the fraction of the budget that is used. The rest is a margin for
	// routers that have just started and for windows that are not aligned with the
	// buckets.
	safetyFactor = 0.7
)

// Config configures a retrier.
type Config struct {
	// Ratio is the fraction of a service's requests that the fleet may retry.
	Ratio float64
	// ExtraRetries is the number of requests that the fleet may retry in each window
	// in addition to that fraction.
	ExtraRetries int64
	// Window is the length of the sliding window over which requests are counted.
	// Required.
	Window time.Duration
	// RouterCount returns how many routers share the budget. Required.
	RouterCount func() int
}

// window counts the requests and retries of one service in a ring of buckets.
type window struct {
	requests     [bucketCount]int64
	retries      [bucketCount]int64
	newestBucket int64 // sequence number of the newest bucket
}

// Retrier holds a retry budget for each service. It is safe for concurrent use.
type Retrier struct {
	config Config

	mutex    sync.Mutex
	services map[string]*window
}

// New returns a retrier with empty counters.
func New(c Config) *Retrier { return &Retrier{config: c, services: map[string]*window{}} }

// CountRequest counts the first attempt of a request.
func (r *Retrier) CountRequest(service string, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	w := r.advanceWindow(service, now)
	w.requests[w.newestBucket%bucketCount]++
}

// Allow reports whether a request may be retried within the budget. If so, it counts
// the retry.
func (r *Retrier) Allow(service string, now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	w := r.advanceWindow(service, now)
	var requests, retries int64
	for i := range bucketCount {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	share := float64(r.config.ExtraRetries) / float64(max(1, r.config.RouterCount()))
	if float64(retries+1) > safetyFactor*(r.config.Ratio*float64(requests)+share) {
		return false
	}
	w.retries[w.newestBucket%bucketCount]++
	return true
}

// advanceWindow advances the service's window to the given time and returns it.
func (r *Retrier) advanceWindow(service string, now time.Time) *window {
	bucket := now.UnixNano() / int64(r.config.Window/bucketCount)
	w, ok := r.services[service]
	if !ok {
		w = &window{newestBucket: bucket}
		r.services[service] = w
	}
	if bucket-w.newestBucket >= bucketCount {
		*w = window{newestBucket: bucket}
	}
	for w.newestBucket < bucket {
		w.newestBucket++
		w.requests[w.newestBucket%bucketCount] = 0
		w.retries[w.newestBucket%bucketCount] = 0
	}
	return w
}
