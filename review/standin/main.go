// Command standin plays the cases of the review: it starts entry hosts and replicas
// as processes, with stand-ins for the platform and the clients.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a scenario.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenarios play a case and report whether the rule was broken.
var scenarios = map[string]func(ctx context.Context, d *deployment, trouble bool) (broken bool, err error){
	"crash":    playCrash,
	"drain":    playDrain,
	"foreign":  playForeign,
	"shutdown": playShutdown,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) > 0 && args[0] == "replica" {
		if err := runReplica(args[1:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
		return exitNotRun
	}
	if len(args) != 3 || scenarios[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin SCENARIO ENTRY_HOST_PROGRAM RECORD | standin replica FLAGS")
		return exitNotRun
	}
	broken, err := play(args[0], args[1], args[2])
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	case broken:
		fmt.Fprintln(os.Stdout, "the rule was broken")
		return exitBroken
	default:
		fmt.Fprintln(os.Stdout, "the rule held")
		return exitHeld
	}
}

// limit bounds the time of a scenario.
const limit = 100 * time.Second

// errStopped reports a scenario that was stopped by a signal or took too long.
var errStopped = errors.New("stopped by a signal, or too slow")

// play plays a scenario and ends all processes that it started, also if it is stopped.
func play(name, binary, recordPath string) (bool, error) {
	rec, err := newRecord(recordPath)
	if err != nil {
		return false, err
	}
	stop, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	defer cancel()
	ctx, cancel := context.WithTimeout(stop, limit)
	defer cancel()
	d, err := newDeployment(ctx, rec, binary)
	if err != nil {
		return false, err
	}
	defer d.end()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("scenario %s, trouble %v", name, trouble)
	type outcome struct {
		broken bool
		err    error
	}
	played := make(chan outcome, 1)
	go func() {
		broken, err := scenarios[name](ctx, d, trouble)
		played <- outcome{broken, err}
	}()
	select {
	case o := <-played:
		rec.add("broken: %v, error: %v", o.broken, o.err)
		return o.broken, o.err
	case <-ctx.Done():
		return false, errStopped
	}
}
