package gateway

import "github.com/rcrowley/go-metrics"

const (
	sampleSize  = 512
	sampleAlpha = 0.015
)

// meters holds the counters and histograms of a gateway.
type meters struct {
	open        metrics.Counter
	served      metrics.Counter
	refused     metrics.Counter
	failed      metrics.Counter
	abandoned   metrics.Counter
	retried     metrics.Counter
	resumed     metrics.Counter
	borrowed    metrics.Counter
	connections metrics.Counter
	// withoutHomeTarget counts the refusals for want of a usable target in the home regions.
	withoutHomeTarget metrics.Counter
	// investigationsSkipped counts the failed attempts that were not investigated, since
	// too many were under way.
	investigationsSkipped metrics.Counter
	// refusedByEvacuation counts the requests for which all targets are in evacuated data
	// centres, and withdrawnByEvacuation those whose target was evacuated while they waited
	// for a connection to it.
	refusedByEvacuation   metrics.Counter
	withdrawnByEvacuation metrics.Counter
	// bodiesOverBudget counts the requests that were refused since no memory was left for
	// their bodies, and sendersEnded those whose bodies did not arrive in time.
	bodiesOverBudget, sendersEnded metrics.Counter
	firstByte                      metrics.Histogram // milliseconds
	duration                       metrics.Histogram // milliseconds
}

func newMeters(r metrics.Registry) meters {
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram(name, r, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, r) }
	return meters{
		open:        counter("requestsOpen"),
		served:      counter("requestsServed"),
		refused:     counter("requestsRefused"),
		failed:      counter("requestsFailed"),
		abandoned:   counter("requestsAbandoned"),
		retried:     counter("requestsRetried"),
		resumed:     counter("streamsResumed"),
		borrowed:    counter("requestsFundedByOthers"),
		connections: counter("targetConnections"),

		withoutHomeTarget:     counter("requestsWithoutHomeTarget"),
		investigationsSkipped: counter("investigationsSkipped"),
		refusedByEvacuation:   counter("requestsRefusedByEvacuation"),
		withdrawnByEvacuation: counter("requestsWithdrawnByEvacuation"),

		bodiesOverBudget: counter("bodiesOverBudget"),
		sendersEnded:     counter("sendersEnded"),

		firstByte: histogram("firstByteMilliseconds"),
		duration:  histogram("requestMilliseconds"),
	}
}
