package controller

import (
	"encoding/json"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"radishshed.example/radishshed/internal/configurer"
	"radishshed.example/radishshed/pkg/coordination/replicator"
	"radishshed.example/radishshed/pkg/protocol/identifier"
	"radishshed.example/radishshed/pkg/state/journaler"
)

const identityFile = "identity.json"

// jsonIdentity is the content of the identity file, which identifies the member
// of the log to which a data folder belongs. A VM that has lost its disk has no
// such file and joins as a new member with another incarnation.
type jsonIdentity struct {
	VM          string `json:"vm"`
	Incarnation uint64 `json:"incarnation"`
}

// Init initialises the data folder as that of the first member of a new fleet. It
// must be called only once for a fleet, on one control VM.
func Init(folder, vm string) error {
	if _, err := os.Stat(filepath.Join(folder, identityFile)); err == nil {
		return errors.Errorf("%s already holds a member's data: a fleet is initialised once, on one control VM", folder)
	}
	member := newMember(vm)
	return initialise(folder, member, []identifier.Process{member})
}

// seedIncarnation is the incarnation of all seeds of a new fleet. With a fixed
// incarnation each seed knows the identifiers of the other initial members before
// it has a link to them.
const seedIncarnation = 1

// bootstrap initialises an empty data folder as that of an initial member if the
// settings say that the fleet starts for the first time and this VM is one of its
// seeds.
func bootstrap(settings configurer.Settings) error {
	folder := settings.DataFolder()
	_, err := os.Stat(filepath.Join(folder, identityFile))
	if err == nil || !settings.FirstStart() || !slices.Contains(settings.SeedHosts(), settings.VM()) {
		return nil
	}
	var members []identifier.Process
	for _, seed := range settings.SeedHosts() {
		members = append(members, identifier.NewProcess(seed, seedIncarnation))
	}
	return initialise(folder, identifier.NewProcess(settings.VM(), seedIncarnation), members)
}

// initialise initialises the data folder as that of a member of a new replicated
// log with the given initial members.
func initialise(folder string, self identifier.Process, members []identifier.Process) error {
	journal, _, err := journaler.Open(folder)
	if err != nil {
		return err
	}
	snapshot, err := replicator.EncodeSnapshot(replicator.Bootstrap(members...))
	if err != nil {
		return err
	}
	if err := journal.Compact(snapshot, nil); err != nil {
		return err
	}
	if err := journal.Close(); err != nil {
		return err
	}
	return writeIdentity(folder, self)
}

// loadIdentity returns the member to which the data folder belongs. An empty
// folder is assigned to a new member.
func loadIdentity(folder, vm string) (identifier.Process, error) {
	data, err := os.ReadFile(filepath.Join(folder, identityFile))
	if os.IsNotExist(err) {
		member := newMember(vm)
		return member, writeIdentity(folder, member)
	}
	if err != nil {
		return identifier.Process{}, errors.Wrap(err, "read identity")
	}
	var w jsonIdentity
	if err := json.Unmarshal(data, &w); err != nil {
		return identifier.Process{}, errors.Wrapf(err, "%s in the data folder is damaged: recover this VM as after the loss of its disk", identityFile)
	}
	if w.VM != vm {
		return identifier.Process{}, errors.Errorf("dataFolder: %s belongs to the VM %q and not to %q: correct vm or dataFolder", folder, w.VM, vm)
	}
	return identifier.NewProcess(w.VM, w.Incarnation), nil
}

func newMember(vm string) identifier.Process {
	return identifier.NewProcess(vm, uint64(time.Now().UnixMilli())<<10|rand.Uint64N(1<<10))
}

func writeIdentity(folder string, member identifier.Process) error {
	data, err := json.Marshal(jsonIdentity{member.VM(), member.Incarnation()})
	if err != nil {
		return errors.Wrap(err, "encode identity")
	}
	return journaler.ReplaceFile(filepath.Join(folder, identityFile), data)
}

// lockFolder takes an exclusive lock on the folder, so that only one process uses
// it.
func lockFolder(folder string) (*os.File, error) {
	file, err := os.OpenFile(filepath.Join(folder, "lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open lock")
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = file.Close() // nothing was written
		return nil, errors.Errorf("dataFolder: %s is in use by another process: stop that process first", folder)
	}
	return file, nil
}
