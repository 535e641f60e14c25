package limiter

import (
	"math/rand/v2"
	"sync"
)

// rankedSizes is the number of recent requests of a service among which one is ranked.
const rankedSizes = 128

// SizeRanker ranks the requests of a service by their size among the recent ones of the same
// router. It is safe for concurrent use.
type SizeRanker struct {
	random func() float64

	mutex    sync.Mutex
	services map[string]*recentSizes
}

// recentSizes is a ring of the sizes of recent requests.
type recentSizes struct {
	sizes []int64
	next  int
}

// SizeRankerConfig configures a SizeRanker.
type SizeRankerConfig struct {
	// Random returns a random number in [0, 1). Default: rand.Float64.
	Random func() float64
}

// NewSizeRanker returns a SizeRanker that knows no request.
func NewSizeRanker(c SizeRankerConfig) *SizeRanker {
	if c.Random == nil {
		c.Random = rand.Float64
	}
	return &SizeRanker{random: c.Random, services: map[string]*recentSizes{}}
}

// Record records the size of a request in any unit that requests of the service share. The
// number of services is that of the catalogue.
func (r *SizeRanker) Record(service string, size int64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	s, ok := r.services[service]
	if !ok {
		s = &recentSizes{}
		r.services[service] = s
	}
	if len(s.sizes) < rankedSizes {
		s.sizes = append(s.sizes, size)
		return
	}
	s.sizes[s.next] = size
	s.next = (s.next + 1) % rankedSizes
}

// Rank returns the part of the recent requests of the service that are smaller, from 0 to 1.
// The order of requests of the same size is random.
func (r *SizeRanker) Rank(service string, size int64) float64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	s, ok := r.services[service]
	if !ok {
		return r.random()
	}
	smaller, equal := 0, 0
	for _, other := range s.sizes {
		switch {
		case other < size:
			smaller++
		case other == size:
			equal++
		}
	}
	return (float64(smaller) + r.random()*float64(equal)) / float64(len(s.sizes))
}

// Random returns a rank for a request that has nowhere else to go, by which all sizes have
// the same chance.
func (r *SizeRanker) Random() float64 { return r.random() }
