package main

import (
	"log/slog"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/acacialink/acacialink/internal/demo"
)

func addDemo(app *kingpin.Application) {
	o := demo.Options{Out: os.Stdout}
	command := app.Command("demo", "Run a small deployment with stand-ins and a sample load in one process.")
	command.Flag("callers", "Callers at work at a time; 0 for no load.").Default("20").IntVar(&o.Load)
	command.Flag("listen", "Callers' address of the first entry host.").Default("127.0.0.1:8080").StringVar(&o.Callers)
	command.Flag("interval", "Time between two lines of figures.").Default("5s").DurationVar(&o.Interval)
	logs := command.Flag("logs", "Print the processes' logs.").Bool()
	duration := command.Flag("for", "Stop after this time; 0 runs until interrupted.").Duration()
	command.Action(func(*kingpin.ParseContext) error { return runDemo(o, *logs, *duration) })
}

func runDemo(o demo.Options, logs bool, duration time.Duration) error {
	ctx, stop := untilStopped()
	defer stop()
	if duration > 0 {
		timer := time.AfterFunc(duration, stop)
		defer timer.Stop()
	}
	o.Log = slog.New(slog.DiscardHandler)
	if logs {
		o.Log = slog.New(slog.NewJSONHandler(os.Stderr, nil))
	}
	return demo.Run(ctx, o)
}
