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
	smallSite = siteSpec{entries: 3, engines: 3, services: 2}
	// servingGuarantees are the guarantees that every run under load examines.
	servingGuarantees = []audit.Guarantee{audit.Responses, audit.AtMostOnce, audit.Keys, audit.Configuration}
)

func TestPlannedEntryStopDoesNotInterruptRequests(t *testing.T) {
	s := newSite(t, smallSite)
	load := s.startLoad(12, 1)
	load.waitAnswers(t, 30)
	stop := timeWindow(s.entries[0].stop)
	load.waitAnswers(t, 30)
	record := s.collectRecord(load)
	record.PlannedChanges = []audit.PlannedChange{{Window: stop, Target: "entry-1", Shutdown: true}}
	auditRecord(t, record, append(servingGuarantees, audit.GracefulShutdowns)...)
}

func TestPlannedAgentStopDoesNotInterruptRequests(t *testing.T) {
	s := newSite(t, smallSite)
	load := s.startLoad(12, 2)
	load.waitAnswers(t, 30)
	stop := timeWindow(func() {
		s.agent("engine-1").stop()
		s.agent("orders-1").stop()
	})
	load.waitAnswers(t, 30)
	record := s.collectRecord(load)
	record.PlannedChanges = []audit.PlannedChange{{Window: stop, Target: "engine-1, orders-1", Shutdown: true}}
	auditRecord(t, record, append(servingGuarantees, audit.GracefulShutdowns)...)
}

func TestGuaranteesHoldWhenProcessesAreKilled(t *testing.T) {
	s := newSite(t, smallSite)
	load := s.startLoad(12, 3)
	load.waitAnswers(t, 30)
	faultWindow := timeWindow(func() {
		for _, p := range []*process{s.entries[1].process, s.agent("engine-2").process, s.agent("orders-2").process} {
			p.kill()
			load.waitAnswers(t, 10)
			p.start()
		}
	})
	load.waitAnswers(t, 30)
	record := s.collectRecord(load)
	record.Faults = []audit.Window{faultWindow}
	auditRecord(t, record, servingGuarantees...)
}

func TestGuaranteesHoldDuringEndpointFaults(t *testing.T) {
	s := newSite(t, smallSite)
	load := s.startLoad(16, 4)
	load.waitAnswers(t, 30)
	faultWindow := timeWindow(func() {
		s.standins.Engines[0].Standin.SetFaults(engine.Faults{Crashed: true})
		for _, kind := range []service.FaultKind{service.FaultCloseAfter, service.FaultCloseBefore, service.FaultCloseMidBody} {
			s.standins.Services[0].Standin.SetFault(service.Fault{Kind: kind, Next: 3})
			load.waitAnswers(t, 20)
		}
		s.standins.Engines[0].Standin.SetFaults(engine.Faults{})
	})
	load.waitAnswers(t, 20)
	record := s.collectRecord(load)
	record.Faults = []audit.Window{faultWindow}
	auditRecord(t, record, servingGuarantees...)
}

func TestKeyRevocationTakesEffectWithOneHostPartitioned(t *testing.T) {
	s := newSite(t, smallSite)
	load := s.startLoad(12, 5)
	load.waitAnswers(t, 30)
	key := s.keys[0]
	s.entries[2].store.cut()
	s.entries[2].inbound.cut()
	change := s.revoke(key.name)
	load.waitAnswers(t, 10)
	time.Sleep(2 * audit.DefaultBounds().RevokeWithin)
	s.entries[2].store.heal()
	s.entries[2].inbound.heal()
	record := s.collectRecord(load)
	for i := range record.Keys {
		if record.Keys[i].Name == key.name {
			record.Keys[i].RevokedAt = change.AcceptedAt
		}
	}
	auditRecord(t, record, servingGuarantees...)
}
