// Command standin plays the cases of the review: it starts entry hosts and replicas
// as processes, with stand-ins for the platform and the clients.
package main

import (
	"context"
	"fmt"
	"os"
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

func play(name, binary, recordPath string) (bool, error) {
	rec, err := newRecord(recordPath)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d, err := newDeployment(ctx, rec, binary)
	if err != nil {
		return false, err
	}
	defer d.end()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("scenario %s, trouble %v", name, trouble)
	broken, err := scenarios[name](ctx, d, trouble)
	rec.add("broken: %v, error: %v", broken, err)
	return broken, err
}
