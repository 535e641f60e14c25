package limiter

import (
	"slices"
	"sync"
	"time"
)

const (
	// settleTime is how long the routers of a fleet can disagree about its members after one
	// has joined or left: they look at the announcements of routers every 500 ms.
	settleTime = 2 * time.Second
	// maxLists bounds the remembered lists of members.
	maxLists = 64
)

// RankHistory tells which rank a VM has had among the coordinators of a target for settleTime.
// Until all routers agree on a new coordinator, some still ask the former one, and the two
// would grant the whole rate each. It is safe for concurrent use.
type RankHistory struct {
	mutex sync.Mutex
	lists []candidateList // from the earliest to the one in force
}

// candidateList holds the sorted names of the VMs that can be coordinators since a moment.
type candidateList struct {
	vms   []string
	since time.Time
}

// Record records the VMs that can be coordinators at present.
func (h *RankHistory) Record(candidates []string, now time.Time) {
	vms := slices.Sorted(slices.Values(candidates))
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if n := len(h.lists); n == 0 || !slices.Equal(h.lists[n-1].vms, vms) {
		h.lists = append(h.lists, candidateList{vms, now})
	}
	obsolete := max(0, len(h.lists)-maxLists)
	for obsolete < len(h.lists)-1 && now.Sub(h.lists[obsolete+1].since) >= settleTime {
		obsolete++
	}
	h.lists = h.lists[obsolete:]
}

// Settled returns the lowest rank that the VM has had for the target within settleTime, or -1
// if it was not always a coordinator.
func (h *RankHistory) Settled(target, vm string, now time.Time) int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if len(h.lists) == 0 || now.Sub(h.lists[0].since) < settleTime {
		return -1
	}
	lowest := 0
	for _, list := range h.lists {
		rank := slices.Index(Coordinators(target, list.vms), vm)
		if rank < 0 {
			return -1
		}
		lowest = max(lowest, rank)
	}
	return lowest
}
