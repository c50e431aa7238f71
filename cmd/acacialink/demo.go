package main

import (
	"log/slog"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/acacialink/acacialink/internal/demo"
)

func addDemo(app *kingpin.Application) {
	opts := demo.Options{Out: os.Stdout}
	command := app.Command("demo", "Run a small deployment with stand-ins and a sample load in one process.")
	command.Flag("callers", "Callers at work at a time; 0 for no load.").Default("20").IntVar(&opts.LoadCallers)
	command.Flag("listen", "Callers' address of the first entry host.").Default("127.0.0.1:8080").StringVar(&opts.CallersAddr)
	command.Flag("interval", "Time between two lines of figures.").Default("5s").DurationVar(&opts.Interval)
	logs := command.Flag("logs", "Print the processes' logs.").Bool()
	duration := command.Flag("for", "Stop after this time; 0 runs until interrupted.").Duration()
	command.Action(func(*kingpin.ParseContext) error { return runDemo(opts, *logs, *duration) })
}

// runDemo runs the demo until a signal arrives or, if duration is positive, until
// it has elapsed.
func runDemo(opts demo.Options, logs bool, duration time.Duration) error {
	ctx, stop := signalContext()
	defer stop()
	if duration > 0 {
		timer := time.AfterFunc(duration, stop)
		defer timer.Stop()
	}
	opts.Log = slog.New(slog.DiscardHandler)
	if logs {
		opts.Log = slog.New(slog.NewJSONHandler(os.Stderr, nil))
	}
	return demo.Run(ctx, opts)
}
