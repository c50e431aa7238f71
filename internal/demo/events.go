package demo

import (
	"context"
	"strconv"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/replay"
	"github.com/acacialink/acacialink/internal/standin/engine"
)

// errUnknownTarget is returned for an event whose target does not exist in the
// site.
var errUnknownTarget = errors.New("event has no such target")

// applyEvent applies an event of a trace to the site.
func (s *Site) applyEvent(_ context.Context, e replay.Event) error {
	switch e.Action {
	case "lose-entry":
		return s.killEntry(e.Target)
	case "return-entry":
		return s.restartEntry(e.Target)
	case "lose-domain":
		return s.setDomainLost(e.Target, true)
	case "return-domain":
		return s.setDomainLost(e.Target, false)
	default:
		return errors.Errorf("unknown event %q", e.Action)
	}
}

// entryIndex parses the target of an event as the index of an entry host.
func (s *Site) entryIndex(target string) (int, error) {
	n, err := strconv.Atoi(target)
	if err != nil || n < 0 || n >= len(s.entryProcesses) {
		return 0, errors.Wrap(errUnknownTarget, target)
	}
	return n, nil
}

// killEntry stops an entry host without draining it.
func (s *Site) killEntry(target string) error {
	i, err := s.entryIndex(target)
	if err != nil {
		return err
	}
	s.entryProcesses[i].kill()
	return nil
}

// restartEntry starts a killed entry host again on the same addresses.
func (s *Site) restartEntry(target string) error {
	i, err := s.entryIndex(target)
	if err != nil {
		return err
	}
	return s.entryProcesses[i].restart()
}

// setDomainLost kills or restarts the entry host and the endpoints of a failure
// domain.
func (s *Site) setDomainLost(domain string, lost bool) error {
	found := false
	for i := range s.entryProcesses {
		if s.entryProcesses[i].settings.Domain != domain {
			continue
		}
		found = true
		if lost {
			s.entryProcesses[i].kill()
		} else if err := s.entryProcesses[i].restart(); err != nil {
			return err
		}
	}
	for _, e := range s.Deployment.Engines {
		if s.endpointDomains[e.Standin.Name()] == domain {
			found = true
			e.Standin.SetFaults(engine.Faults{Crashed: lost})
		}
	}
	if !found {
		return errors.Wrap(errUnknownTarget, domain)
	}
	return nil
}
