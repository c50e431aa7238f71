package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/configcheck"
	"github.com/acacialink/acacialink/internal/exit"
	"github.com/acacialink/acacialink/platform"
)

// errConfigFaulty reports that a configuration has errors. The printed findings say which.
var errConfigFaulty = errors.New("the configuration has errors")

// configReport is the JSON form of a check.
type configReport struct {
	Version     int64                    `json:"version"`
	Findings    []configcheck.Finding    `json:"findings"`
	Differences []configcheck.Difference `json:"differences"`
}

func addConfig(app *kingpin.Application) {
	group := app.Command("config", "The configuration of a deployment.")
	command := group.Command("check", "Check a configuration before it is sent.")
	file := command.Arg("file", "Configuration file (JSON).").Required().String()
	against := command.Flag("against", "File with the configuration in force, to compare with.").String()
	output := command.Flag("output", "Form of the answer: text or json.").Short('o').Default("text").Enum("text", "json")
	command.Action(func(*kingpin.ParseContext) error { return checkConfig(*file, *against, *output == "json", os.Stdout) })
}

// checkConfig writes findings and differences. It returns errConfigFaulty if a finding is an error.
func checkConfig(file, against string, asJSON bool, out io.Writer) error {
	entries, err := readConfig(file)
	if err != nil {
		return err
	}
	report := configReport{Version: entries.Version, Findings: append([]configcheck.Finding{}, entries.Check()...), Differences: []configcheck.Difference{}}
	if against != "" {
		inForce, err := readConfig(against)
		if err != nil {
			return err
		}
		report.Findings = append(report.Findings, entries.CheckVersion(inForce)...)
		report.Differences = append(report.Differences, entries.DifferencesFrom(inForce)...)
	}
	if err := report.write(out, asJSON); err != nil {
		return errors.Wrap(err, "write the report")
	}
	for _, f := range report.Findings {
		if f.Severity == configcheck.Error {
			return exit.With(exit.Failed, errConfigFaulty)
		}
	}
	return nil
}

func readConfig(file string) (*configcheck.Entries, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, exit.With(exit.Usage, errors.Wrap(err, "read configuration"))
	}
	entries, err := platform.DecodeEntries(data)
	return entries, exit.With(exit.Settings, errors.Wrap(err, file))
}

func (r configReport) write(out io.Writer, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(r)
	}
	for _, f := range r.Findings {
		if _, err := fmt.Fprintln(out, f); err != nil {
			return err
		}
	}
	for _, d := range r.Differences {
		if _, err := fmt.Fprintln(out, "difference:", d); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(out, "version %d: %d findings, %d differences\n", r.Version, len(r.Findings), len(r.Differences))
	return err
}
