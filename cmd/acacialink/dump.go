package main

import (
	"context"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/exit"
	"github.com/acacialink/acacialink/internal/observe"
)

// dumpTimeout bounds the request of a state dump.
const dumpTimeout = 10 * time.Second

func addDump(app *kingpin.Application) {
	command := app.Command("dump", "Print the state of a process as JSON.")
	address := command.Arg("address", "Operators' address of the process (IP:PORT).").Required().String()
	part := command.Flag("part", "Only this part of the state.").String()
	token := command.Flag("token", "Operator's token.").Envar("ACACIALINK_TOKEN").Required().String()
	command.Action(func(*kingpin.ParseContext) error { return dump(*address, *token, *part) })
}

// dump writes the state of a process, or one part of it, to standard output.
func dump(address, token, part string) error {
	ctx, cancel := context.WithTimeout(context.Background(), dumpTimeout)
	defer cancel()
	err := observe.Dump(ctx, address, token, part, os.Stdout)
	if errors.Is(err, observe.ErrUnreachable) {
		return exit.With(exit.Unreachable, err)
	}
	if errors.Is(err, observe.ErrNotOperator) {
		return exit.With(exit.Refused, err)
	}
	return err
}
