package replay

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"

	"github.com/acacialink/acacialink/internal/exit"
	"github.com/acacialink/acacialink/internal/opsclient"
	"github.com/acacialink/acacialink/internal/resource"
)

// Job is the configuration of one replay run from the command line.
type Job struct {
	// TracePath is the path of a trace file. If empty, a trace is generated from
	// Scenario, Seed, Length and Load as described at Generate.
	TracePath string
	Scenario  string
	Seed      uint64
	Length    time.Duration
	Load      float64
	// KeysPath is the path of a file with a JSON object of API keys by workspace.
	// If empty, Options.Keys is used unchanged.
	KeysPath string
	// ResourcesPath is the path of the deployment's resources file, from which
	// the rates of the workspaces are read. If empty, Options.Rates is used
	// unchanged.
	ResourcesPath string
	// OutcomesPath is the path of a file of expected outcomes; empty for none.
	OutcomesPath string
	// OutputDir is the directory for the result and its plots. If empty, no files
	// are written.
	OutputDir string
	Options   Options
}

// Run replays the trace, writes the table to out and the files to OutputDir. It
// returns exit.OK if all expected outcomes hold and exit.Failed otherwise. If an
// input file is invalid, it returns exit.Settings and an error without sending
// any request.
func (j *Job) Run(ctx context.Context, out io.Writer) (exit.Code, error) {
	trace, outcomes, err := j.loadInputs()
	if err != nil {
		return exit.Settings, err
	}
	result, err := Run(ctx, trace, j.Options)
	if err != nil {
		return exit.Failed, err
	}
	allHold := result.CheckOutcomes(outcomes)
	if err := result.WriteTable(out); err != nil {
		return exit.Failed, err
	}
	if err := j.saveResults(result, out); err != nil {
		return exit.Failed, err
	}
	if !allHold {
		return exit.Failed, nil
	}
	return exit.OK, nil
}

// loadInputs reads all input files of the job.
func (j *Job) loadInputs() (*Trace, []Outcome, error) {
	trace, err := j.loadTrace()
	if err != nil {
		return nil, nil, err
	}
	if err := j.loadKeys(); err != nil {
		return nil, nil, err
	}
	if err := j.loadRates(); err != nil {
		return nil, nil, err
	}
	if j.OutcomesPath == "" {
		return trace, nil, nil
	}
	source, err := os.ReadFile(j.OutcomesPath)
	if err != nil {
		return nil, nil, errors.Wrap(err, "outcomes")
	}
	outcomes, err := ParseOutcomes(source)
	return trace, outcomes, errors.Wrap(err, j.OutcomesPath)
}

func (j *Job) loadTrace() (*Trace, error) {
	if j.TracePath == "" {
		return Generate(j.Scenario, j.Seed, j.Length, j.Load)
	}
	file, err := os.Open(j.TracePath)
	if err != nil {
		return nil, errors.Wrap(err, "trace")
	}
	defer file.Close()
	trace, err := ReadCSV(file)
	if err != nil {
		return nil, errors.Wrap(err, j.TracePath)
	}
	if trace.Name == "" {
		trace.Name = filepath.Base(j.TracePath)
	}
	return trace, nil
}

func (j *Job) loadKeys() error {
	if j.KeysPath == "" {
		return nil
	}
	source, err := os.ReadFile(j.KeysPath)
	if err != nil {
		return errors.Wrap(err, "keys")
	}
	standard, err := hujson.Standardize(source)
	if err != nil {
		return errors.Wrap(err, j.KeysPath)
	}
	j.Options.Keys = nil
	// The decoder's error is dropped because it may quote an API key.
	if json.NewDecoder(bytes.NewReader(standard)).Decode(&j.Options.Keys) != nil {
		return errors.Errorf("%s: must be an object with a key for each workspace", j.KeysPath)
	}
	return nil
}

func (j *Job) loadRates() error {
	if j.ResourcesPath == "" {
		return nil
	}
	source, err := os.ReadFile(j.ResourcesPath)
	if err != nil {
		return errors.Wrap(err, "resources")
	}
	list, err := opsclient.ParseResources(source)
	if err != nil {
		return errors.Wrap(err, j.ResourcesPath)
	}
	j.Options.Rates, err = WorkspaceRates(list)
	return errors.Wrap(err, j.ResourcesPath)
}

// WorkspaceRates returns the rates of all workspaces in list by name.
func WorkspaceRates(list []resource.Resource) (map[string]Rate, error) {
	rates := make(map[string]Rate)
	for i := range list {
		if list[i].Kind != resource.KindWorkspace {
			continue
		}
		var w resource.WorkspaceSpec
		if err := json.Unmarshal(list[i].Spec, &w); err != nil {
			return nil, errors.Wrapf(err, "workspace %s", list[i].Name)
		}
		rates[list[i].Name] = Rate{Tokens: w.RateTokens, Burst: w.BurstTokens}
	}
	return rates, nil
}

// resultDirMode makes the output directory world-readable.
const resultDirMode = 0o755

// saveResults writes the result and its plots to OutputDir.
func (j *Job) saveResults(r *Result, out io.Writer) error {
	if j.OutputDir == "" {
		return nil
	}
	if err := os.MkdirAll(j.OutputDir, resultDirMode); err != nil {
		return errors.Wrap(err, "results")
	}
	base := filepath.Join(j.OutputDir, fmt.Sprintf("%s-%d", r.Trace, r.Seed))
	if err := r.Save(base + ".json"); err != nil {
		return err
	}
	fmt.Fprintf(out, "\nresult %s.json, plots %s-*.svg\n", base, base)
	return PlotAll(base, NamedResult{Name: r.Trace, Result: r})
}

// PlotAll writes all plots as SVG files with the path prefix base.
func PlotAll(base string, results ...NamedResult) error {
	for _, p := range []struct {
		name string
		plot func(string, ...NamedResult) error
	}{
		{"goodput", PlotGoodput},
		{"first-token", PlotFirstToken},
		{"workspaces", PlotWorkspaces},
	} {
		if err := p.plot(base+"-"+p.name+".svg", results...); err != nil {
			return err
		}
	}
	return nil
}

// CompareFiles compares two sets of result files and writes the table to out. See
// Compare for the requirements on the sets.
func CompareFiles(out io.Writer, a, b []string) error {
	left, err := loadResults(a)
	if err != nil {
		return err
	}
	right, err := loadResults(b)
	if err != nil {
		return err
	}
	list, err := Compare(left, right)
	if err != nil {
		return err
	}
	return WriteComparison(out, list)
}

func loadResults(paths []string) ([]*Result, error) {
	results := make([]*Result, 0, len(paths))
	for _, path := range paths {
		r, err := LoadResult(path)
		if err != nil {
			return nil, err
		}
		results = append(results, r)
	}
	return results, nil
}
