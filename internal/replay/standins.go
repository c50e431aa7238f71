package replay

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Standins are the stand-ins whose records tell a deployment's own figures.
type Standins struct {
	// Engines, Provider and UsageSink are base URLs.
	Engines             []string
	Provider, UsageSink string
	// Window is the length of a usage window, LateAfter how long after its
	// end a first report is late.
	Window, LateAfter time.Duration
	// Static counts endpoints that run all the time and were not ordered.
	Static int

	begun  time.Time
	before Figures
}

// Begin notes the figures of now, which Figures leaves out.
func (s *Standins) Begin(ctx context.Context) error {
	s.begun = time.Now()
	before, err := s.read(ctx)
	s.before = before
	return err
}

// Figures returns the figures since Begin. It fits Options.Figures.
func (s *Standins) Figures(ctx context.Context) (Figures, error) {
	f, err := s.read(ctx)
	if err != nil {
		return f, err
	}
	f.RoleChanges -= s.before.RoleChanges
	f.LateReports -= s.before.LateReports
	f.WrongReports -= s.before.WrongReports
	f.EndpointSeconds += time.Since(s.begun).Seconds()*float64(s.Static) - s.before.EndpointSeconds
	return f, nil
}

// read adds up all records.
func (s *Standins) read(ctx context.Context) (Figures, error) {
	var f Figures
	for _, base := range s.Engines {
		if err := s.readEngine(ctx, base, &f); err != nil {
			return f, err
		}
	}
	if err := s.readProvider(ctx, &f); err != nil {
		return f, err
	}
	return f, s.readReports(ctx, &f)
}

// readEngine counts the role changes that an engine made.
func (s *Standins) readEngine(ctx context.Context, base string, f *Figures) error {
	var r struct {
		Orders []struct {
			Kind   string `json:"kind"`
			Result string `json:"result"`
			Repeat bool   `json:"repeat"`
		} `json:"orders"`
	}
	if err := getRecord(ctx, base, &r); err != nil {
		return err
	}
	for _, o := range r.Orders {
		if o.Kind == "set-role" && o.Result == "done" && !o.Repeat {
			f.RoleChanges++
		}
	}
	return nil
}

// readProvider adds the seconds that ordered endpoints were billed for.
func (s *Standins) readProvider(ctx context.Context, f *Figures) error {
	if s.Provider == "" {
		return nil
	}
	var r struct {
		Billed []struct {
			Seconds float64 `json:"seconds"`
		} `json:"billed"`
	}
	if err := getRecord(ctx, s.Provider, &r); err != nil {
		return err
	}
	for _, b := range r.Billed {
		f.EndpointSeconds += b.Seconds
	}
	return nil
}

// readReports counts reports that differ from an earlier one of the same page,
// and first reports that came late.
func (s *Standins) readReports(ctx context.Context, f *Figures) error {
	if s.UsageSink == "" {
		return nil
	}
	var reports []struct {
		At       time.Time `json:"at"`
		Window   string
		Repeat   bool `json:"repeat"`
		Conflict bool `json:"conflict"`
	}
	if err := getRecord(ctx, s.UsageSink, &reports); err != nil {
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
		if !r.Repeat && r.At.Sub(start) > s.Window+s.LateAfter {
			f.LateReports++
		}
	}
	return nil
}

// getRecord reads what a stand-in recorded.
func getRecord(ctx context.Context, base string, into any) error {
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
		return errors.Errorf("record of %s: %s", base, response.Status)
	}
	return errors.Wrapf(json.NewDecoder(response.Body).Decode(into), "record of %s", base)
}
