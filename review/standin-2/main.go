// Command standin-2 plays the scripts of the second review: a small deployment
// of the project's own programs with stand-ins of the platform's store, the
// instances and the clients.
//
// It exits with 1 if the rule was broken, with 0 if it held and with 2 if the case
// could not be run.
package main

import (
	"fmt"
	"os"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenarios are the cases by name. Each returns whether the rule was broken.
var scenarios = map[string]func(f *fleet, trouble bool) (broken bool, err error){
	"stale":    stale,
	"restored": restored,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 3 || scenarios[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 SCENARIO PROGRAM RECORD")
		return exitNotRun
	}
	rec, err := newRecorder(args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	f, err := newFleet(args[1], rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.stop()
	broken, err := scenarios[args[0]](f, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.line("could not be run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		rec.line("the rule was broken")
		return exitBroken
	}
	rec.line("the rule held")
	return exitHeld
}
