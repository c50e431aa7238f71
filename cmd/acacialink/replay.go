package main

import (
	"io"
	"log/slog"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/demo"
	"github.com/acacialink/acacialink/internal/exit"
	"github.com/acacialink/acacialink/internal/replay"
)

// defaultScenarioLength is the default length of a generated trace.
const defaultScenarioLength = 2 * time.Minute

// errOutcomeNotMet reports that an expected outcome was not met. The printed table
// shows which.
var errOutcomeNotMet = errors.New("expected outcome not met")

// replayFlags holds the flags of the replay command.
type replayFlags struct {
	experiment demo.Experiment
	// entries holds the base URLs of entry hosts; if empty, a sample site is
	// started in this process.
	entries []string
	// quiet disables the progress output.
	quiet bool
}

func addReplay(app *kingpin.Application) {
	flags := &replayFlags{}
	job := &flags.experiment.Job
	command := app.Command("replay", "Replay a trace against a deployment, or against a sample site in this process.")
	command.Arg("trace", "Trace file (CSV); none for a scenario.").StringVar(&job.TracePath)
	command.Flag("scenario", "Generated trace: festival-day, tenant-surge, domain-loss, catalogue-burst or deposit-loss.").Default("festival-day").StringVar(&job.Scenario)
	command.Flag("seed", "Seed of the scenario.").Default("1").Uint64Var(&job.Seed)
	command.Flag("length", "Length of the scenario.").Default(defaultScenarioLength.String()).DurationVar(&job.Length)
	command.Flag("load", "Factor on the scenario's rates.").Default("1").Float64Var(&job.Load)
	command.Flag("scale", "How much faster than recorded the trace arrives.").Default("1").Float64Var(&job.Options.Speed)
	command.Flag("outcomes", "File of stated outcomes; the exit code says whether they hold.").StringVar(&job.OutcomesPath)
	command.Flag("out", "Folder for the result and its plots.").StringVar(&job.OutputDir)
	command.Flag("entry", "Callers' base URL of an entry host; may be repeated.").StringsVar(&flags.entries)
	command.Flag("keys", "File of workspaces and their keys.").StringVar(&job.KeysPath)
	command.Flag("resources", "The deployment's resources file, for the workspaces' rates.").StringVar(&job.ResourcesPath)
	command.Flag("site", "Sample site to start in this process when no entry is given: festival or consortium.").Default("festival").StringVar(&flags.experiment.Site)
	command.Flag("routing", "The sample site's routing.policy.").StringVar(&flags.experiment.RoutingPolicy)
	command.Flag("roles", "The sample site's role.mode.").StringVar(&flags.experiment.RoleMode)
	command.Flag("quiet", "Print no progress.").BoolVar(&flags.quiet)
	command.Action(func(*kingpin.ParseContext) error { return flags.run() })
}

func (f *replayFlags) run() error {
	ctx, stop := signalContext()
	defer stop()
	job := &f.experiment.Job
	if !f.quiet {
		job.Options.Progress = io.Writer(os.Stderr)
	}
	var code exit.Code
	var err error
	if len(f.entries) > 0 {
		job.Options.Entries = f.entries
		code, err = job.Run(ctx, os.Stdout)
	} else {
		f.experiment.Log = slog.New(slog.DiscardHandler)
		code, err = f.experiment.Run(ctx, os.Stdout)
	}
	if err == nil && code != exit.OK {
		err = errOutcomeNotMet
	}
	return exit.With(code, err)
}

func addCompare(app *kingpin.Application) {
	command := app.Command("compare", "Compare the results of replays, with their spread over seeds.")
	before := command.Flag("before", "Result file; may be repeated.").Required().ExistingFiles()
	after := command.Flag("after", "Result file; may be repeated.").Required().ExistingFiles()
	command.Action(func(*kingpin.ParseContext) error {
		return replay.CompareFiles(os.Stdout, *before, *after)
	})
}
