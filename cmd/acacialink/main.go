// Command acacialink is every process between callers and endpoints: the
// entry hosts, the agents, the operators' commands and the stand-ins.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/acacialink/acacialink/internal/exit"
)

func main() {
	os.Exit(int(run(os.Args[1:])))
}

// run parses the command line, runs the command and returns the exit code.
func run(args []string) exit.Code {
	app := kingpin.New("acacialink", "Serves language models and order services to callers from a limited fleet.")
	app.HelpFlag.Short('h')
	app.Terminate(nil)
	addEntry(app)
	addGateway(app)
	addAgent(app)
	addSettings(app)
	addCerts(app)
	addExplain(app)
	addDump(app)
	addStandin(app)
	addDemo(app)
	addOperators(app)
	addReplay(app)
	addCompare(app)
	addVersion(app)
	parsed := false
	app.Action(func(*kingpin.ParseContext) error {
		parsed = true // The command itself comes next.
		return nil
	})
	_, err := app.Parse(args)
	if err == nil {
		return exit.OK
	}
	fmt.Fprintf(os.Stderr, "acacialink: %v\n", err)
	if !parsed {
		return exit.Usage
	}
	return exit.CodeOf(err)
}
