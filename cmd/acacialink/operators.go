package main

import (
	"context"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/acacialink/acacialink/internal/opsclient"
)

// addOperators adds the commands over the operators' resource API.
func addOperators(app *kingpin.Application) {
	addApply(app)
	addGet(app)
	addWatch(app)
	addDelete(app)
}

// clientFlags adds the flags that all of these commands share.
func clientFlags(command *kingpin.CmdClause) *opsclient.Options {
	o := &opsclient.Options{}
	command.Flag("server", "Operators' address of an entry host, as a URL; may be repeated.").Required().StringsVar(&o.Addresses)
	command.Flag("token", "Operator's token.").Envar("ACACIALINK_TOKEN").Required().StringVar(&o.Token)
	output := command.Flag("output", "Form of the answer: text or json.").Short('o').Default("text").Enum("text", "json")
	command.PreAction(func(*kingpin.ParseContext) error {
		o.JSON = *output == "json"
		return nil
	})
	return o
}

func waitFlag(command *kingpin.CmdClause, o *opsclient.Options) {
	command.Flag("wait", "How long to wait until the change is in force everywhere.").DurationVar(&o.Wait)
}

func addApply(app *kingpin.Application) {
	command := app.Command("apply", "Create or update all resources of a file as one change.")
	file := command.Flag("file", "Resources file (JSON with comments).").Short('f').Required().String()
	o := clientFlags(command)
	waitFlag(command, o)
	command.Action(func(*kingpin.ParseContext) error {
		return opsclient.Apply(context.Background(), *o, *file, os.Stdout)
	})
}

func addGet(app *kingpin.Application) {
	command := app.Command("get", "Print one resource, or all of a kind.")
	kind := command.Arg("kind", "Kind of resource.").Required().String()
	name := command.Arg("name", "Name of the resource.").String()
	o := clientFlags(command)
	command.Action(func(*kingpin.ParseContext) error {
		return opsclient.Get(context.Background(), *o, *kind, *name, os.Stdout)
	})
}

func addWatch(app *kingpin.Application) {
	command := app.Command("watch", "Print changes of resources as they are accepted.")
	kind := command.Arg("kind", "Only this kind of resource.").String()
	after := command.Flag("after", "Only changes later than this revision.").Int64()
	o := clientFlags(command)
	command.Action(func(*kingpin.ParseContext) error {
		ctx, stop := untilStopped()
		defer stop()
		return opsclient.Watch(ctx, *o, *kind, *after, os.Stdout)
	})
}

func addDelete(app *kingpin.Application) {
	command := app.Command("delete", "Remove a resource; a key is revoked.")
	kind := command.Arg("kind", "Kind of resource.").Required().String()
	name := command.Arg("name", "Name of the resource.").Required().String()
	revision := command.Flag("revision", "Revision that the resource must have.").Int64()
	o := clientFlags(command)
	waitFlag(command, o)
	command.Action(func(*kingpin.ParseContext) error {
		return opsclient.Delete(context.Background(), *o, *kind, *name, *revision, os.Stdout)
	})
}
