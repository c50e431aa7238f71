package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/acacialink/acacialink/internal/certs"
	"github.com/acacialink/acacialink/internal/exit"
	"github.com/acacialink/acacialink/internal/node"
	"github.com/acacialink/acacialink/internal/observe"
	"github.com/acacialink/acacialink/internal/settings"
)

// untilStopped returns a context that ends at the first SIGTERM or SIGINT; a
// second one ends the process at once.
func untilStopped() (context.Context, context.CancelFunc) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	context.AfterFunc(ctx, stop)
	return ctx, stop
}

func addEntry(app *kingpin.Application) {
	command := app.Command("entry", "Run an entry host process.")
	path := command.Flag("settings", "Settings file (JSON with comments).").Required().String()
	command.Action(func(*kingpin.ParseContext) error { return runEntry(*path) })
}

func runEntry(path string) error {
	s, err := settings.LoadEntry(path)
	if err != nil {
		return exit.With(exit.Settings, err)
	}
	source, err := sourceOf(s.TLS)
	if err != nil {
		return exit.With(exit.Settings, err)
	}
	ctx, stop := untilStopped()
	defer stop()
	log := observe.NewLogger(os.Stderr, slog.LevelInfo, observe.Identity{Process: s.Name, Role: "entry", Domain: s.Domain})
	entry, err := node.NewEntry(ctx, s, source, log)
	if err != nil {
		return err
	}
	return entry.Run(ctx)
}

func addAgent(app *kingpin.Application) {
	command := app.Command("agent", "Run the process beside an endpoint.")
	path := command.Flag("settings", "Settings file (JSON with comments).").Required().String()
	command.Action(func(*kingpin.ParseContext) error { return runAgent(*path) })
}

func runAgent(path string) error {
	s, err := settings.LoadAgent(path)
	if err != nil {
		return exit.With(exit.Settings, err)
	}
	source, err := sourceOf(s.TLS)
	if err != nil {
		return exit.With(exit.Settings, err)
	}
	ctx, stop := untilStopped()
	defer stop()
	log := observe.NewLogger(os.Stderr, slog.LevelInfo, observe.Identity{Process: s.Name, Role: "agent", Domain: s.Domain})
	agent, err := node.NewAgent(ctx, s, source, log)
	if err != nil {
		return err
	}
	return agent.Run(ctx)
}

func sourceOf(files settings.TLS) (certs.Source, error) {
	return certs.NewFileSource(certs.Files{CA: files.CA, Cert: files.Cert, Key: files.Key})
}
