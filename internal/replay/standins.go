package replay

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// StandinFigures reads the figures of a deployment from the records of its
// stand-ins.
type StandinFigures struct {
	// Engines are the base URLs of the engines.
	Engines []string
	// Provider and UsageSink are base URLs; empty if there is none.
	Provider, UsageSink string
	// UsageWindow is the length of a usage window. The first report of a window
	// is late if it arrives more than LateAfter after the window's end.
	UsageWindow, LateAfter time.Duration
	// StaticEndpoints is the number of endpoints that run all the time and are
	// not ordered from the provider.
	StaticEndpoints int

	startedAt time.Time
	baseline  DeploymentFigures
}

// RecordBaseline reads the current figures as the baseline that Figures subtracts.
func (s *StandinFigures) RecordBaseline(ctx context.Context) error {
	s.startedAt = time.Now()
	before, err := s.readRecords(ctx)
	s.baseline = before
	return err
}

// Figures returns the figures since RecordBaseline. It can be used as
// Options.DeploymentFigures.
func (s *StandinFigures) Figures(ctx context.Context) (DeploymentFigures, error) {
	f, err := s.readRecords(ctx)
	if err != nil {
		return f, err
	}
	f.RoleChanges -= s.baseline.RoleChanges
	f.LateReports -= s.baseline.LateReports
	f.WrongReports -= s.baseline.WrongReports
	f.EndpointSeconds += time.Since(s.startedAt).Seconds()*float64(s.StaticEndpoints) - s.baseline.EndpointSeconds
	return f, nil
}

// readRecords returns the totals over the records of all stand-ins.
func (s *StandinFigures) readRecords(ctx context.Context) (DeploymentFigures, error) {
	var f DeploymentFigures
	for _, base := range s.Engines {
		if err := s.addRoleChanges(ctx, base, &f); err != nil {
			return f, err
		}
	}
	if err := s.addBilledSeconds(ctx, &f); err != nil {
		return f, err
	}
	return f, s.addUsageReports(ctx, &f)
}

// addRoleChanges adds the role changes that an engine completed, without repeated
// orders.
func (s *StandinFigures) addRoleChanges(ctx context.Context, base string, f *DeploymentFigures) error {
	var r struct {
		Orders []struct {
			Kind   string `json:"kind"`
			Result string `json:"result"`
			Repeat bool   `json:"repeat"`
		} `json:"orders"`
	}
	if err := fetchRecord(ctx, base, &r); err != nil {
		return err
	}
	for _, o := range r.Orders {
		if o.Kind == "set-role" && o.Result == "done" && !o.Repeat {
			f.RoleChanges++
		}
	}
	return nil
}

// addBilledSeconds adds the seconds billed for ordered endpoints.
func (s *StandinFigures) addBilledSeconds(ctx context.Context, f *DeploymentFigures) error {
	if s.Provider == "" {
		return nil
	}
	var r struct {
		Billed []struct {
			Seconds float64 `json:"seconds"`
		} `json:"billed"`
	}
	if err := fetchRecord(ctx, s.Provider, &r); err != nil {
		return err
	}
	for _, b := range r.Billed {
		f.EndpointSeconds += b.Seconds
	}
	return nil
}

// addUsageReports counts reports that conflict with an earlier report of the same
// page, and first reports that are late.
func (s *StandinFigures) addUsageReports(ctx context.Context, f *DeploymentFigures) error {
	if s.UsageSink == "" {
		return nil
	}
	var reports []struct {
		At       time.Time `json:"at"`
		Window   string
		Repeat   bool `json:"repeat"`
		Conflict bool `json:"conflict"`
	}
	if err := fetchRecord(ctx, s.UsageSink, &reports); err != nil {
		return err
	}
	for _, r := range reports {
		if r.Conflict {
			f.WrongReports++
			continue
		}
		start, err := time.Parse(time.RFC3339, r.Window)
		if err != nil {
			return errors.Wrap(err, "usage window")
		}
		if !r.Repeat && r.At.Sub(start) > s.UsageWindow+s.LateAfter {
			f.LateReports++
		}
	}
	return nil
}

// fetchRecord decodes the record of the stand-in at base into the value that into
// points to.
func fetchRecord(ctx context.Context, base string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimRight(base, "/")+"/record", nil)
	if err != nil {
		return errors.Wrap(err, "record")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "record")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("fetch record of %s: status %s", base, response.Status)
	}
	return errors.Wrapf(json.NewDecoder(response.Body).Decode(into), "decode record of %s", base)
}
