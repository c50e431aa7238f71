//go:build linux

package fault

import (
	"testing"
	"time"

	"github.com/acacialink/acacialink/internal/audit"
)

// outageDuration exceeds both how long a configuration stays fresh and how long
// a connection may be silent.
const outageDuration = 6 * time.Second

func TestServingContinuesDuringStoreOutage(t *testing.T) {
	s := newSite(t, smallSite)
	load := s.startLoad(12, 6)
	load.waitAnswers(t, 30)
	faultWindow := timeWindow(func() {
		s.standins.Store.Standin.SetDown(true)
		time.Sleep(outageDuration)
		load.waitAnswers(t, 30)
		s.standins.Store.Standin.SetDown(false)
	})
	load.waitAnswers(t, 20)
	record := s.collectRecord(load)
	record.Faults = []audit.Window{faultWindow}
	auditRecord(t, record, append(servingGuarantees, audit.NotRun)...)
}

func TestGuaranteesHoldWhenStoreResponsesAreLost(t *testing.T) {
	s := newSite(t, smallSite)
	s.standins.Store.Standin.LoseAnswers(0.3)
	load := s.startLoad(12, 7)
	load.waitAnswers(t, 60)
	s.standins.Store.Standin.LoseAnswers(0)
	auditRecord(t, s.collectRecord(load), servingGuarantees...)
}

func TestSilentConnectionsAreReplaced(t *testing.T) {
	s := newSite(t, smallSite)
	load := s.startLoad(12, 8)
	load.waitAnswers(t, 30)
	for _, h := range append(append([]*host{}, s.entries...), s.agents...) {
		h.inbound.gate.silenceConnections()
		h.store.gate.silenceConnections()
		if h.endpoint != nil {
			h.endpoint.gate.silenceConnections()
		}
	}
	load.waitAnswers(t, 60)
	auditRecord(t, s.collectRecord(load), servingGuarantees...)
}

func TestGuaranteesHoldWhenProcessesArePaused(t *testing.T) {
	s := newSite(t, smallSite)
	load := s.startLoad(12, 9)
	load.waitAnswers(t, 30)
	for _, p := range []*process{s.entries[0].process, s.agent("engine-1").process, s.agent("orders-1").process} {
		p.pause()
		time.Sleep(outageDuration)
		p.resume()
		load.waitAnswers(t, 10)
	}
	auditRecord(t, s.collectRecord(load), servingGuarantees...)
}
