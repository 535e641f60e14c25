// Command standins runs one review case: a small fleet of the project's own programs as
// separate processes on loopback addresses, and stand-ins for the platform, the clients and the
// replicas. It writes what was sent, answered and run to record.txt in the folder of the case.
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not
// run. TROUBLE=0 leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by the name of their folder.
var cases = map[string]func(*run) bool{
	"endless-heads":   runEndlessHeads,
	"relayed-uploads": runRelayedUploads,
	"reset-upload":    runResetUpload,
	"slow-readers":    runSlowReaders,
	"half-close":      runHalfClose,
}

// run is one run of a case.
type run struct {
	*record
	fleet   *fleet
	trouble bool
}

// notRun is the panic value that ends a case that cannot run.
type notRun struct{ cause string }

// fail ends a case that cannot run.
func fail(format string, arguments ...any) { panic(notRun{fmt.Sprintf(format, arguments...)}) }

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2]))
}

// runCase runs the case and returns the exit code. All processes have ended when it returns.
func runCase(judge func(*run) bool, folder string) (code int) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	r := &run{record: newRecord(file), trouble: os.Getenv("TROUBLE") != "0"}
	defer func() {
		if r.fleet != nil {
			r.fleet.stop()
		}
		if cause := recover(); cause != nil {
			c, ok := cause.(notRun)
			if !ok {
				panic(cause)
			}
			r.note("the case could not run: %s", c.cause)
			code = exitNotRun
		}
		r.close()
	}()
	r.note("trouble: %t", r.trouble)
	if judge(r) {
		r.note("RESULT: the rule was broken")
		return exitBroken
	}
	r.note("RESULT: the rule held")
	return exitHeld
}
