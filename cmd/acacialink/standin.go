package main

import (
	"fmt"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/exit"
	"github.com/acacialink/acacialink/internal/standin"
)

func addStandin(app *kingpin.Application) {
	var opts standin.NamedOptions
	command := app.Command("standin", "Run a stand-in for a service of the platform, for tests and trials.")
	name := command.Arg("name", "One of "+strings.Join(standin.Names(), ", ")+".").Required().String()
	address := command.Flag("listen", "IP address and port; port 0 takes a free one.").Default("127.0.0.1:0").String()
	command.Flag("name", "Name of an engine or a service.").StringVar(&opts.Name)
	command.Flag("model", "Model that an engine has loaded; may be repeated.").StringsVar(&opts.Models)
	command.Flag("adapter", "Adapter (MODEL/ADAPTER) that an engine has loaded; may be repeated.").StringsVar(&opts.Adapters)
	command.Flag("role", "Role of an engine.").Default(string(backing.RoleMixed)).StringVar((*string)(&opts.Role))
	command.Flag("checks-fencing", "Refuse old fencing numbers.").BoolVar(&opts.ChecksFencing)
	command.Flag("writes", "Writes a second of the store, 0 for no limit.").Float64Var(&opts.WritesPerSecond)
	command.Flag("reads", "Reads a second of the store, 0 for no limit.").Float64Var(&opts.ReadsPerSecond)
	command.Flag("seed", "Seed of its random faults.").Uint64Var(&opts.Seed)
	command.Action(func(*kingpin.ParseContext) error { return runStandin(*name, *address, opts) })
}

// runStandin serves a stand-in until SIGTERM or SIGINT.
func runStandin(name, address string, opts standin.NamedOptions) error {
	handler, err := standin.NewNamed(name, opts)
	if err != nil {
		return exit.With(exit.Usage, err)
	}
	ctx, stop := signalContext()
	defer stop()
	server, err := standin.Listen(address, handler)
	if err != nil {
		return err
	}
	fmt.Printf("%s listens on %s\n", name, server.Address())
	<-ctx.Done()
	return server.Close()
}
