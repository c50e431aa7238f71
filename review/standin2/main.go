// Command standin2 holds the stand-ins of the second review's scripts: the platform's store
// and API, replicas, and clients. It starts entry hosts and replicas as processes.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scripts holds the cases, by name. Each writes what it saw to the record.
var scripts = map[string]func(d *deployment, trouble bool) (broken bool, err error){
	"spot":   runSpot,
	"frozen": runFrozen,
	"stale":  runStale,
}

func main() {
	if len(os.Args) < 2 {
		fail("usage: standin replica|SCRIPT ...")
	}
	if os.Args[1] == "replica" {
		if err := runReplica(os.Args[2:]); err != nil {
			fail(err.Error())
		}
		return
	}
	script := scripts[os.Args[1]]
	if script == nil || len(os.Args) != 4 {
		fail("usage: standin SCRIPT ENTRY_HOST_PROGRAM RECORD")
	}
	os.Exit(play(script, os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0"))
}

func fail(message string) {
	fmt.Fprintln(os.Stderr, message)
	os.Exit(exitNotRun)
}

// longestPlay is when a script that has not ended is given up.
const longestPlay = 118 * time.Second

// play runs a script in a deployment of its own and returns the exit code.
func play(script func(*deployment, bool) (bool, error), program, recordPath string, trouble bool) int {
	record, err := os.Create(recordPath)
	if err != nil {
		fail(err.Error())
	}
	defer record.Close()
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fail(err.Error())
	}
	defer func() { _ = os.RemoveAll(folder) }()
	d := newDeployment(program, folder, record)
	defer d.end()
	go func() {
		interrupted := make(chan os.Signal, 1)
		signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
		select {
		case <-interrupted:
		case <-time.After(longestPlay):
		}
		d.end()
		_ = os.RemoveAll(folder)
		os.Exit(exitNotRun)
	}()
	broken, err := script(d, trouble)
	switch {
	case err != nil:
		d.note("not run: %v", err)
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	case broken:
		d.note("the rule was broken")
		return exitBroken
	default:
		d.note("the rule held")
		return exitHeld
	}
}
