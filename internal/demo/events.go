package demo

import (
	"context"
	"strconv"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/replay"
	"github.com/acacialink/acacialink/internal/standin/engine"
)

// errUnknownTarget means that a trace's event names nothing of the site.
var errUnknownTarget = errors.New("event has no such target")

// onEvent makes the site do what a trace says.
func (s *Site) onEvent(_ context.Context, e replay.Event) error {
	switch e.Action {
	case "lose-entry":
		return s.loseEntry(e.Target)
	case "return-entry":
		return s.returnEntry(e.Target)
	case "lose-domain":
		return s.setDomain(e.Target, true)
	case "return-domain":
		return s.setDomain(e.Target, false)
	default:
		return errors.Errorf("unknown event %q", e.Action)
	}
}

// entryIndex is the index of an entry host that an event names by its number.
func (s *Site) entryIndex(target string) (int, error) {
	n, err := strconv.Atoi(target)
	if err != nil || n < 0 || n >= len(s.running) {
		return 0, errors.Wrap(errUnknownTarget, target)
	}
	return n, nil
}

// loseEntry kills an entry host.
func (s *Site) loseEntry(target string) error {
	i, err := s.entryIndex(target)
	if err != nil {
		return err
	}
	s.running[i].kill()
	return nil
}

// returnEntry starts an entry host that was lost, on the same addresses.
func (s *Site) returnEntry(target string) error {
	i, err := s.entryIndex(target)
	if err != nil {
		return err
	}
	return s.running[i].restart()
}

// setDomain loses or returns the entry host and the endpoints of a domain.
func (s *Site) setDomain(domain string, lost bool) error {
	found := false
	for i := range s.running {
		if s.running[i].settings.Domain != domain {
			continue
		}
		found = true
		if lost {
			s.running[i].kill()
		} else if err := s.running[i].restart(); err != nil {
			return err
		}
	}
	for _, e := range s.Deployment.Engines {
		if s.domains[e.Standin.Name()] == domain {
			found = true
			e.Standin.SetFaults(engine.Faults{Crashed: lost})
		}
	}
	if !found {
		return errors.Wrap(errUnknownTarget, domain)
	}
	return nil
}
