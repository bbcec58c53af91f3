package stage

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxDuration bounds the run of a case.
const maxDuration = 110 * time.Second

// Main runs a case and ends the process: with 1 if the rule was broken, 0 if it
// held, and 2 if the case could not run. The case writes its record to the
// folder given as the only argument. Without trouble, which is the environment
// variable TROUBLE set to 0, a case leaves the disruption out.
func Main(cfg Config, run func(d *Deployment, trouble bool) (broken bool, err error)) {
	if len(os.Args) != 2 {
		fmt.Println("usage: CASE FOLDER")
		os.Exit(exitNotRun)
	}
	d, err := NewDeployment(cfg, filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		fmt.Println("not run:", err)
		os.Exit(exitNotRun)
	}
	end := sync.OnceFunc(d.Close)
	abort := func(why any) {
		fmt.Println("not run:", why)
		end()
		os.Exit(exitNotRun)
	}
	time.AfterFunc(maxDuration, func() { abort("took too long") })
	sig := make(chan os.Signal, 1)
	signal.Notify(sig, syscall.SIGTERM, syscall.SIGINT)
	go func() { abort(<-sig) }()
	broken, err := run(d, os.Getenv("TROUBLE") != "0")
	if err != nil {
		abort(err)
	}
	end()
	if broken {
		fmt.Println("the rule was broken")
		os.Exit(exitBroken)
	}
	fmt.Println("the rule held")
	os.Exit(exitHeld)
}
