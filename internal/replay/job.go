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

// Job is one replay as a command line asks for it.
type Job struct {
	// Trace is a file, or empty for a Scenario with its Seed, Length and Load.
	Trace    string
	Scenario string
	Seed     uint64
	Length   time.Duration
	Load     float64
	// Keys is a file with an object of workspaces and their keys; empty
	// leaves Options.Keys as they are.
	Keys string
	// Resources is the deployment's resources file, for the workspaces'
	// rates; empty leaves Options.Rates as they are.
	Resources string
	// Outcomes is a file of stated outcomes; empty states none.
	Outcomes string
	// Dir is where the result and its plots go; empty writes no files.
	Dir     string
	Options Options
}

// Run replays, writes the table to out and the files to Dir, and returns
// exit.OK if all stated outcomes hold, exit.Failed if one does not. Files that
// can't be used give exit.Settings and an error before anything is sent.
func (j *Job) Run(ctx context.Context, out io.Writer) (exit.Code, error) {
	trace, outcomes, err := j.load()
	if err != nil {
		return exit.Settings, err
	}
	result, err := Run(ctx, trace, j.Options)
	if err != nil {
		return exit.Failed, err
	}
	holds := result.CheckOutcomes(outcomes)
	if err := result.WriteTable(out); err != nil {
		return exit.Failed, err
	}
	if err := j.save(result, out); err != nil {
		return exit.Failed, err
	}
	if !holds {
		return exit.Failed, nil
	}
	return exit.OK, nil
}

// load reads all files of the job.
func (j *Job) load() (*Trace, []Outcome, error) {
	trace, err := j.trace()
	if err != nil {
		return nil, nil, err
	}
	if err := j.loadKeys(); err != nil {
		return nil, nil, err
	}
	if err := j.loadRates(); err != nil {
		return nil, nil, err
	}
	if j.Outcomes == "" {
		return trace, nil, nil
	}
	source, err := os.ReadFile(j.Outcomes)
	if err != nil {
		return nil, nil, errors.Wrap(err, "outcomes")
	}
	outcomes, err := ParseOutcomes(source)
	return trace, outcomes, errors.Wrap(err, j.Outcomes)
}

func (j *Job) trace() (*Trace, error) {
	if j.Trace == "" {
		return Generate(j.Scenario, j.Seed, j.Length, j.Load)
	}
	file, err := os.Open(j.Trace)
	if err != nil {
		return nil, errors.Wrap(err, "trace")
	}
	defer file.Close()
	trace, err := ReadCSV(file)
	if err != nil {
		return nil, errors.Wrap(err, j.Trace)
	}
	if trace.Name == "" {
		trace.Name = filepath.Base(j.Trace)
	}
	return trace, nil
}

func (j *Job) loadKeys() error {
	if j.Keys == "" {
		return nil
	}
	source, err := os.ReadFile(j.Keys)
	if err != nil {
		return errors.Wrap(err, "keys")
	}
	standard, err := hujson.Standardize(source)
	if err != nil {
		return errors.Wrap(err, j.Keys)
	}
	j.Options.Keys = nil
	// The decoder's error may quote a key.
	if json.NewDecoder(bytes.NewReader(standard)).Decode(&j.Options.Keys) != nil {
		return errors.Errorf("%s: must be an object of workspaces with a key each", j.Keys)
	}
	return nil
}

func (j *Job) loadRates() error {
	if j.Resources == "" {
		return nil
	}
	source, err := os.ReadFile(j.Resources)
	if err != nil {
		return errors.Wrap(err, "resources")
	}
	list, err := opsclient.ParseResources(source)
	if err != nil {
		return errors.Wrap(err, j.Resources)
	}
	j.Options.Rates, err = RatesOf(list)
	return errors.Wrap(err, j.Resources)
}

// RatesOf returns the workspaces' rates among resources.
func RatesOf(list []resource.Resource) (map[string]Rate, error) {
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

// dirMode lets everybody read results.
const dirMode = 0o755

// save writes the result and its plots into Dir.
func (j *Job) save(r *Result, out io.Writer) error {
	if j.Dir == "" {
		return nil
	}
	if err := os.MkdirAll(j.Dir, dirMode); err != nil {
		return errors.Wrap(err, "results")
	}
	base := filepath.Join(j.Dir, fmt.Sprintf("%s-%d", r.Trace, r.Seed))
	if err := r.Save(base + ".json"); err != nil {
		return err
	}
	fmt.Fprintf(out, "\nresult %s.json, plots %s-*.svg\n", base, base)
	return PlotAll(base, Named{Name: r.Trace, Result: r})
}

// PlotAll draws all plots as SVG files whose names begin with base.
func PlotAll(base string, results ...Named) error {
	for _, one := range []struct {
		name string
		plot func(string, ...Named) error
	}{
		{"goodput", PlotGoodput},
		{"first-token", PlotFirstToken},
		{"workspaces", PlotWorkspaces},
	} {
		if err := one.plot(base+"-"+one.name+".svg", results...); err != nil {
			return err
		}
	}
	return nil
}

// CompareFiles compares two sets of result files and writes the table to out.
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
