// Command standins runs one case of the review: a small deployment of the project's own programs,
// with stand-ins for replicas, clients and the platform, on loopback addresses.
package main

import (
	"fmt"
	"os"
	"time"
)

// exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

func main() {
	cases := map[string]func(r *record, trouble bool) (bool, error){
		"late-heartbeat": lateHeartbeat,
		"replace-core":   replaceCore,
		"changed-query":  changedQuery, "same-query": sameQuery,
		"endless-heads": endlessHeads, "dark-crash": darkCrash, "slow-crash": slowCrash, "long-prompt": longPrompt, "short-prompt": shortPrompt,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE RECORD-FILE")
		os.Exit(notRun)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(c func(r *record, trouble bool) (bool, error), path string) int {
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer func() { _ = file.Close() }()
	r := &record{file: file, start: time.Now()}
	ruleHeld, err := c(r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.log("not run: %v", err)
		fmt.Println("not run:", err)
		return notRun
	case ruleHeld:
		r.log("the rule held")
		fmt.Println("the rule held")
		return held
	default:
		r.log("the rule was broken")
		fmt.Println("the rule was broken")
		return broken
	}
}
