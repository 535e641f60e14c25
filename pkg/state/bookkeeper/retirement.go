package bookkeeper

import (
	"maps"
	"slices"

	"radishshed.example/radishshed/pkg/protocol/identifier"
)

// IntentReplicas is the number of other routers that store an intent while
// control cannot be reached. As long as fewer routers than this have been
// retired since the ledger last knew all requests of a router, at least one
// router that is not retired stores each of its intents.
const IntentReplicas = 2

// Register makes the process the current router of its VM. An older incarnation
// is retired, since its process has terminated.
func (l *Ledger) Register(process identifier.Process) error {
	if removed, ok := l.removed[process.VM()]; ok && process.Incarnation() <= removed {
		return ErrRetired
	}
	current, ok := l.newest[process.VM()]
	if ok && process.Incarnation() < current.Incarnation() {
		return ErrRetired
	}
	if ok && process == current {
		if l.routers[process].retired {
			return ErrRetired
		}
		return nil
	}
	if ok {
		l.Retire(current)
	}
	l.newest[process.VM()] = process
	l.routers[process] = &router{closedBelow: 1, closed: map[uint64]bool{}, retirementsAtLastReport: l.retirements}
	return nil
}

// Retire withdraws a router's right to draw and to open requests. It is called
// when the process has terminated, or has been unresponsive for longer than it
// may spend without control.
//
// The ledger takes the router's unspent grants back once it knows all requests
// that the router started. To this end, each other router sweeps the retired
// process: it reports all intents of the process that it stores (MarkSwept). The
// open requests of the retired router stay reserved until they are settled.
func (l *Ledger) Retire(process identifier.Process) {
	r, ok := l.routers[process]
	if !ok || r.retired {
		return
	}
	r.retired = true
	r.unsweepableCount = int(l.retirements - r.retirementsAtLastReport)
	l.retirements++
	r.unswept = map[identifier.Process]bool{}
	for _, other := range l.newest {
		if other != process && !l.routers[other].retired {
			r.unswept[other] = true
		}
	}
	for _, a := range l.accounts {
		if h := a.holders[process]; h != nil {
			a.setDemand(h, 0, 0)
			a.aggregates.retired++
		}
	}
	// The process can no longer report the intents that it stores for routers
	// that were retired before.
	for earlier, record := range l.routers {
		if record.unswept[process] {
			delete(record.unswept, process)
			record.unsweepableCount++
			l.reclaimRetired(earlier)
		}
	}
	l.reclaimRetired(process)
}

// Retirements returns the number of processes that have been retired so far.
func (l *Ledger) Retirements() uint64 { return l.retirements }

// MarkAllIntentsReported records that the router has reported all its open
// requests to the ledger, at a time when it had seen the given number of
// retirements. Processes that had been retired before then cannot store an
// intent of the router that the ledger does not know.
func (l *Ledger) MarkAllIntentsReported(process identifier.Process, retirements uint64) {
	if r, ok := l.routers[process]; ok && !r.retired {
		r.retirementsAtLastReport = max(r.retirementsAtLastReport, min(retirements, l.retirements))
	}
}

// Deregister retires a router that has reported that it stops and that the
// ledger knows all its requests. Its unspent grants need no further proof.
func (l *Ledger) Deregister(process identifier.Process) {
	l.Retire(process)
	l.Release(process)
}

// MarkSwept records the end of a sweep: the router that is given as by has
// reported all intents of the retired process that it stores, and will not
// accept further ones.
func (l *Ledger) MarkSwept(retired, by identifier.Process) {
	r, ok := l.routers[retired]
	if !ok || !r.retired {
		return
	}
	delete(r.unswept, by)
	l.reclaimRetired(retired)
}

// Unswept returns the retired processes whose intents the router has not yet
// reported, sorted by process.
func (l *Ledger) Unswept(by identifier.Process) []identifier.Process {
	var retired []identifier.Process
	for process, r := range l.routers {
		if r.unswept[by] {
			retired = append(retired, process)
		}
	}
	slices.SortFunc(retired, compareProcesses)
	return retired
}

// isReclaimable reports whether the process is retired and all its intents are
// known, so that its unspent grants can be reclaimed.
func (r *router) isReclaimable() bool {
	return r.retired && len(r.unswept) == 0 && r.unsweepableCount < IntentReplicas
}

// reclaimRetired takes back the unspent grants of a retired process if all its
// intents are known, and removes the process once it has no open intent. Grants
// that are not proved unspent stay set aside.
func (l *Ledger) reclaimRetired(process identifier.Process) {
	r := l.routers[process]
	if !r.isReclaimable() {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(l.accounts)) {
		a := l.accounts[name]
		if h := a.holders[process]; h != nil {
			l.reclaim(a, h, h.unspent())
		}
	}
	if r.open > 0 {
		return
	}
	delete(l.routers, process)
	for _, a := range l.accounts {
		if _, ok := a.holders[process]; ok {
			delete(a.holders, process)
			a.aggregates.retired--
		}
	}
	l.removed[process.VM()] = max(l.removed[process.VM()], process.Incarnation())
	if l.newest[process.VM()] == process {
		delete(l.newest, process.VM())
	}
}

// Release stops waiting for proof that a retired process has not spent the rest
// of its grants, and frees that rest. It is called when this is known from the
// process itself (Deregister) or from an operator.
func (l *Ledger) Release(retired identifier.Process) {
	r, ok := l.routers[retired]
	if !ok || !r.retired {
		return
	}
	clear(r.unswept)
	r.unsweepableCount = 0
	l.reclaimRetired(retired)
}

// AwaitingRelease returns the retired processes whose grants stay set aside
// until an operator releases them, because too many of the routers that may
// store their intents have been retired, too.
func (l *Ledger) AwaitingRelease() []identifier.Process {
	var awaiting []identifier.Process
	for process, r := range l.routers {
		if r.retired && !r.isReclaimable() && len(r.unswept) == 0 {
			awaiting = append(awaiting, process)
		}
	}
	slices.SortFunc(awaiting, compareProcesses)
	return awaiting
}

// Fences returns the newest retired process of each VM. A router that registers
// receives them and accepts no intents of these or older processes of the VM.
func (l *Ledger) Fences() []identifier.Process {
	newest := maps.Clone(l.removed)
	for process, r := range l.routers {
		if r.retired {
			newest[process.VM()] = max(newest[process.VM()], process.Incarnation())
		}
	}
	var fences []identifier.Process
	for _, vm := range slices.Sorted(maps.Keys(newest)) {
		fences = append(fences, identifier.NewProcess(vm, newest[vm]))
	}
	return fences
}
