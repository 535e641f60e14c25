// Command standin runs the cases of the review: it starts the project's own programs as
// processes and plays clients, replicas, the operator and the platform.
package main

import (
	"flag"
	"fmt"
	"os"
)

// cases maps the name of a case to its function, which reports whether the rule was broken.
var cases = map[string]func(f *fleet, trouble bool) (broken bool, summary string){
	"stop": plannedStop,
}

func main() {
	name := flag.String("case", "", "name of the case")
	binary := flag.String("system", "target/radishshed", "the built system")
	path := flag.String("record", "record.txt", "where to write what was sent, answered and run")
	flag.Parse()
	run, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		os.Exit(2)
	}
	os.Exit(play(run, *binary, *path))
}

func play(run func(*fleet, bool) (bool, string), binary, path string) (status int) {
	var f *fleet
	defer func() {
		if f != nil {
			f.close()
		}
		if cause := recover(); cause != nil {
			fmt.Fprintln(os.Stderr, "the case could not run:", cause)
			status = 2
		}
	}()
	r := newRecord(path)
	f = newFleet(r, binary)
	broken, summary := run(f, os.Getenv("TROUBLE") != "0")
	r.log("result: broken %v: %s", broken, summary)
	fmt.Printf("broken %v: %s\n", broken, summary)
	if broken {
		return 1
	}
	return 0
}
