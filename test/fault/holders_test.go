//go:build linux

package fault

import (
	"fmt"
	"testing"
	"time"

	"github.com/acacialink/acacialink/internal/audit"
)

// leaseLapse is longer than a lease of control work lasts without renewal.
const leaseLapse = 10 * time.Second

// ordered are the promises about control work.
var ordered = []audit.Guarantee{
	audit.ConflictingOrders, audit.StaleOrders, audit.ProviderOrders, audit.UsageReports,
}

// TestControlHoldersThatArePausedOrKilledGiveNoConflictingOrders pauses each
// entry host until its leases have lapsed, with answers of the store lost, and
// asks for new adapters meanwhile, so that orders are always on their way.
func TestControlHoldersThatArePausedOrKilledGiveNoConflictingOrders(t *testing.T) {
	s := newSite(t, plan{entries: 3, engines: 3, services: 2, least: 2})
	l := s.startLoad(12, 11)
	l.waitAnswers(t, 30)
	s.standins.Store.Standin.LoseAnswers(0.2)
	fault := during(func() {
		for i, h := range s.entries {
			s.setAdapters(fmt.Sprintf("a%d", i))
			h.pause()
			time.Sleep(leaseLapse)
			h.resume()
		}
		s.setAdapters("last")
		s.entries[0].kill()
		time.Sleep(leaseLapse)
		s.entries[0].start()
	})
	s.standins.Store.Standin.LoseAnswers(0)
	l.waitAnswers(t, 30)
	r := s.record(l)
	r.Faults = []audit.Window{fault}
	judge(t, r, append(served, ordered...)...)
}
