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

// runner is a process of an entry host or an agent.
type runner interface {
	Run(ctx context.Context) error
}

// buildFunc creates a process and opens its listeners.
type buildFunc func(ctx context.Context, source certs.Source, log *slog.Logger) (runner, error)

// signalContext returns a context that is canceled at the first SIGTERM or SIGINT.
// A second signal terminates the process immediately.
func signalContext() (context.Context, context.CancelFunc) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	context.AfterFunc(ctx, stop)
	return ctx, stop
}

// ignoreHangups keeps SIGHUP from ending the process. There is nothing to reload: settings are
// read at the start, and certificates whenever their files change.
func ignoreHangups() { signal.Ignore(syscall.SIGHUP) }

func addEntry(app *kingpin.Application) {
	command := app.Command("entry", "Run an entry host process.")
	path := addSettingsFlag(command)
	command.Action(func(*kingpin.ParseContext) error { return runEntry(*path) })
}

func addAgent(app *kingpin.Application) {
	command := app.Command("agent", "Run the process beside an endpoint.")
	path := addSettingsFlag(command)
	command.Action(func(*kingpin.ParseContext) error { return runAgent(*path) })
}

func addSettingsFlag(command *kingpin.CmdClause) *string {
	return command.Flag("settings", "Settings file (JSON with comments).").Required().String()
}

func runEntry(path string) error {
	ignoreHangups()
	s, err := settings.LoadEntry(path)
	if err != nil {
		return exit.With(exit.Settings, err)
	}
	id := observe.Identity{Process: s.Name, Role: "entry", Domain: s.Domain}
	return runProcess(s.TLS, id, func(ctx context.Context, source certs.Source, log *slog.Logger) (runner, error) {
		return node.NewEntry(ctx, s, source, log)
	})
}

func runAgent(path string) error {
	ignoreHangups()
	s, err := settings.LoadAgent(path)
	if err != nil {
		return exit.With(exit.Settings, err)
	}
	id := observe.Identity{Process: s.Name, Role: "agent", Domain: s.Domain}
	return runProcess(s.TLS, id, func(ctx context.Context, source certs.Source, log *slog.Logger) (runner, error) {
		return node.NewAgent(ctx, s, source, log)
	})
}

// runProcess builds a process and runs it until SIGTERM or SIGINT.
func runProcess(files settings.TLS, id observe.Identity, build buildFunc) error {
	log := observe.NewLogger(os.Stderr, slog.LevelInfo, id)
	source, err := certs.NewFileSource(certs.Files{CA: files.CA, Cert: files.Cert, Key: files.Key}, log)
	if err != nil {
		return exit.With(exit.Settings, err)
	}
	ctx, stop := signalContext()
	defer stop()
	process, err := build(ctx, source, log)
	if err != nil {
		return err
	}
	return process.Run(ctx)
}
