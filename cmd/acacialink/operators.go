package main

import (
	"context"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/acacialink/acacialink/internal/opsclient"
)

// addResourceCommands adds the commands that use the operators' resource API.
func addResourceCommands(app *kingpin.Application) {
	addApply(app)
	addGet(app)
	addWatch(app)
	addDelete(app)
}

// addClientFlags adds the flags common to the resource commands. The returned
// options are set when the command line has been parsed.
func addClientFlags(command *kingpin.CmdClause) *opsclient.Options {
	opts := &opsclient.Options{}
	command.Flag("server", "Operators' address of an entry host, as a URL; may be repeated.").Required().StringsVar(&opts.Addresses)
	command.Flag("token", "Operator's token.").Envar("ACACIALINK_TOKEN").Required().StringVar(&opts.Token)
	output := command.Flag("output", "Form of the answer: text or json.").Short('o').Default("text").Enum("text", "json")
	command.PreAction(func(*kingpin.ParseContext) error {
		opts.JSON = *output == "json"
		return nil
	})
	return opts
}

func addWaitFlag(command *kingpin.CmdClause, opts *opsclient.Options) {
	command.Flag("wait", "How long to wait until the change is in force everywhere.").DurationVar(&opts.Wait)
}

func addApply(app *kingpin.Application) {
	command := app.Command("apply", "Create or update all resources of a file as one change.")
	file := command.Flag("file", "Resources file (JSON with comments).").Short('f').Required().String()
	opts := addClientFlags(command)
	addWaitFlag(command, opts)
	command.Action(func(*kingpin.ParseContext) error {
		return opsclient.Apply(context.Background(), *opts, *file, os.Stdout)
	})
}

func addGet(app *kingpin.Application) {
	command := app.Command("get", "Print one resource, or all of a kind.")
	kind := command.Arg("kind", "Kind of resource.").Required().String()
	name := command.Arg("name", "Name of the resource.").String()
	opts := addClientFlags(command)
	command.Action(func(*kingpin.ParseContext) error {
		return opsclient.Get(context.Background(), *opts, *kind, *name, os.Stdout)
	})
}

func addWatch(app *kingpin.Application) {
	command := app.Command("watch", "Print changes of resources as they are accepted.")
	kind := command.Arg("kind", "Only this kind of resource.").String()
	after := command.Flag("after", "Only changes later than this revision.").Int64()
	opts := addClientFlags(command)
	command.Action(func(*kingpin.ParseContext) error {
		ctx, stop := signalContext()
		defer stop()
		return opsclient.Watch(ctx, *opts, *kind, *after, os.Stdout)
	})
}

func addDelete(app *kingpin.Application) {
	command := app.Command("delete", "Remove a resource; a key is revoked.")
	kind := command.Arg("kind", "Kind of resource.").Required().String()
	name := command.Arg("name", "Name of the resource.").Required().String()
	revision := command.Flag("revision", "Revision that the resource must have.").Int64()
	opts := addClientFlags(command)
	addWaitFlag(command, opts)
	command.Action(func(*kingpin.ParseContext) error {
		return opsclient.Delete(context.Background(), *opts, *kind, *name, *revision, os.Stdout)
	})
}
