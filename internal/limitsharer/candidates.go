package limitsharer

import (
	"strings"
	"sync/atomic"

	"radishshed.example/radishshed/internal/messenger"
	"radishshed.example/radishshed/pkg/coordination/disseminator"
)

// ControlVMs is the set of the known control VMs, as candidates of a fleet in which they
// coordinate limits: all its routers keep links to them. It is safe for concurrent use.
type ControlVMs struct{ vms atomic.Pointer[[]string] }

// Update replaces the set by the control VMs among the entries.
func (c *ControlVMs) Update(entries []disseminator.Entry) {
	var vms []string
	for _, e := range entries {
		if vm, ok := strings.CutPrefix(e.Key(), messenger.ControlAddressPrefix); ok {
			vms = append(vms, vm)
		}
	}
	c.vms.Store(&vms)
}

// List returns the names of the VMs.
func (c *ControlVMs) List() []string {
	if vms := c.vms.Load(); vms != nil {
		return *vms
	}
	return nil
}
