//go:build linux

package fault

import (
	"testing"
	"time"

	"github.com/acacialink/acacialink/internal/audit"
	"github.com/acacialink/acacialink/internal/standin/engine"
	"github.com/acacialink/acacialink/internal/standin/service"
)

var (
	small = plan{entries: 3, engines: 3, services: 2}
	// served are the promises that any run under load speaks of.
	served = []audit.Guarantee{audit.Responses, audit.AtMostOnce, audit.Keys, audit.Configuration}
)

func TestPlannedStopOfEntryCutsNoRequest(t *testing.T) {
	s := newSite(t, small)
	l := s.startLoad(12, 1)
	l.waitAnswers(t, 30)
	stop := during(s.entries[0].stop)
	l.waitAnswers(t, 30)
	r := s.record(l)
	r.Planned = []audit.PlannedChange{{Window: stop, Target: "entry-1", Shutdown: true}}
	judge(t, r, append(served, audit.GracefulShutdowns)...)
}

func TestPlannedStopOfAgentsCutsNoRequest(t *testing.T) {
	s := newSite(t, small)
	l := s.startLoad(12, 2)
	l.waitAnswers(t, 30)
	stop := during(func() {
		s.agent("engine-1").stop()
		s.agent("orders-1").stop()
	})
	l.waitAnswers(t, 30)
	r := s.record(l)
	r.Planned = []audit.PlannedChange{{Window: stop, Target: "engine-1, orders-1", Shutdown: true}}
	judge(t, r, append(served, audit.GracefulShutdowns)...)
}

func TestKilledProcessesBreakNoPromise(t *testing.T) {
	s := newSite(t, small)
	l := s.startLoad(12, 3)
	l.waitAnswers(t, 30)
	fault := during(func() {
		for _, p := range []*process{s.entries[1].process, s.agent("engine-2").process, s.agent("orders-2").process} {
			p.kill()
			l.waitAnswers(t, 10)
			p.start()
		}
	})
	l.waitAnswers(t, 30)
	r := s.record(l)
	r.Faults = []audit.Window{fault}
	judge(t, r, served...)
}

func TestEndpointFaultsBreakNoPromise(t *testing.T) {
	s := newSite(t, small)
	l := s.startLoad(16, 4)
	l.waitAnswers(t, 30)
	fault := during(func() {
		s.standins.Engines[0].Standin.SetFaults(engine.Faults{Crashed: true})
		for _, kind := range []service.FaultKind{service.FaultCloseAfter, service.FaultCloseBefore, service.FaultCloseMidBody} {
			s.standins.Services[0].Standin.SetFault(service.Fault{Kind: kind, Next: 3})
			l.waitAnswers(t, 20)
		}
		s.standins.Engines[0].Standin.SetFaults(engine.Faults{})
	})
	l.waitAnswers(t, 20)
	r := s.record(l)
	r.Faults = []audit.Window{fault}
	judge(t, r, served...)
}

func TestRevokedKeyStopsWorkingWhileOneHostIsCutOff(t *testing.T) {
	s := newSite(t, small)
	l := s.startLoad(12, 5)
	l.waitAnswers(t, 30)
	key := s.keys[0]
	s.entries[2].store.cut()
	s.entries[2].inbound.cut()
	change := s.revoke(key.name)
	l.waitAnswers(t, 10)
	time.Sleep(2 * audit.DefaultBounds().RevokeWithin)
	s.entries[2].store.heal()
	s.entries[2].inbound.heal()
	r := s.record(l)
	for i := range r.Keys {
		if r.Keys[i].Name == key.name {
			r.Keys[i].RevokedAt = change.AcceptedAt
		}
	}
	judge(t, r, served...)
}
