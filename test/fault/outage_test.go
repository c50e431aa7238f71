//go:build linux

package fault

import (
	"testing"
	"time"

	"github.com/acacialink/acacialink/internal/audit"
)

// outage is longer than the freshness of a configuration and than the silence
// that a connection may keep.
const outage = 6 * time.Second

func TestServingGoesOnWhileTheStoreIsDown(t *testing.T) {
	s := newSite(t, small)
	l := s.startLoad(12, 6)
	l.waitAnswers(t, 30)
	fault := during(func() {
		s.standins.Store.Standin.SetDown(true)
		time.Sleep(outage)
		l.waitAnswers(t, 30)
		s.standins.Store.Standin.SetDown(false)
	})
	l.waitAnswers(t, 20)
	r := s.record(l)
	r.Faults = []audit.Window{fault}
	judge(t, r, append(served, audit.NotRun)...)
}

func TestStoreThatLosesAnswersBreaksNoPromise(t *testing.T) {
	s := newSite(t, small)
	s.standins.Store.Standin.LoseAnswers(0.3)
	l := s.startLoad(12, 7)
	l.waitAnswers(t, 60)
	s.standins.Store.Standin.LoseAnswers(0)
	judge(t, s.record(l), served...)
}

func TestSilentConnectionsAreReplaced(t *testing.T) {
	s := newSite(t, small)
	l := s.startLoad(12, 8)
	l.waitAnswers(t, 30)
	for _, h := range append(append([]*host{}, s.entries...), s.agents...) {
		h.inbound.gate.silence()
		h.store.gate.silence()
		if h.endpoint != nil {
			h.endpoint.gate.silence()
		}
	}
	l.waitAnswers(t, 60)
	judge(t, s.record(l), served...)
}

func TestPausedProcessesBreakNoPromise(t *testing.T) {
	s := newSite(t, small)
	l := s.startLoad(12, 9)
	l.waitAnswers(t, 30)
	for _, p := range []*process{s.entries[0].process, s.agent("engine-1").process, s.agent("orders-1").process} {
		p.pause()
		time.Sleep(outage)
		p.resume()
		l.waitAnswers(t, 10)
	}
	judge(t, s.record(l), served...)
}
