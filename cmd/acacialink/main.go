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

// helped is what a request for help ends the parsing with.
type helped struct{}

// run parses the command line, runs the command and returns the exit code.
func run(args []string) (code exit.Code) {
	defer func() {
		switch p := recover().(type) {
		case nil:
		case helped:
			code = exit.OK
		default:
			panic(p)
		}
	}()
	app := kingpin.New("acacialink", "Serves language models and order services to callers from a limited fleet.")
	app.HelpFlag.Short('h')
	app.Terminate(func(int) { panic(helped{}) })
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
