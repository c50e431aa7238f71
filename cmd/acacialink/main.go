// Command acacialink runs the entry hosts and agents between callers and
// endpoints, the operators' commands and the stand-ins for tests.
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

// helpShown is the panic value that ends parsing after the help text was printed.
type helpShown struct{}

// run parses the command line, runs the command and returns the exit code.
func run(args []string) (code exit.Code) {
	defer func() {
		switch p := recover().(type) {
		case nil:
		case helpShown:
			code = exit.OK
		default:
			panic(p)
		}
	}()
	app := kingpin.New("acacialink", "Serves language models and order services to callers from a limited fleet.")
	app.HelpFlag.Short('h')
	app.Terminate(func(int) { panic(helpShown{}) })
	addEntry(app)
	addGateway(app)
	addAgent(app)
	addSettings(app)
	addCerts(app)
	addConfig(app)
	addExplain(app)
	addDump(app)
	addStandin(app)
	addDemo(app)
	addResourceCommands(app)
	addReplay(app)
	addCompare(app)
	addVersion(app)
	parsed := false
	app.Action(func(*kingpin.ParseContext) error {
		parsed = true // The action of the command runs after this one.
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
