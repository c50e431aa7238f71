//go:build linux

package fault

import (
	"fmt"
	"testing"
	"time"

	"github.com/acacialink/acacialink/internal/audit"
)

// leaseExpiry exceeds the lifetime of a control lease without renewal.
const leaseExpiry = 10 * time.Second

// controlGuarantees are the guarantees about control work.
var controlGuarantees = []audit.Guarantee{
	audit.ConflictingOrders, audit.StaleOrders, audit.ProviderOrders, audit.UsageReports,
}

// TestPausedOrKilledLeadersSendNoConflictingOrders guards against orders from a
// former leader. While the store loses responses, it pauses each entry host until
// its leases have expired, then kills and restarts one, and changes the adapters
// before each fault so that orders are always in flight.
func TestPausedOrKilledLeadersSendNoConflictingOrders(t *testing.T) {
	s := newSite(t, siteSpec{entries: 3, engines: 3, services: 2, minEngines: 2})
	load := s.startLoad(12, 11)
	load.waitAnswers(t, 30)
	s.standins.Store.Standin.LoseAnswers(0.2)
	faultWindow := timeWindow(func() {
		for i, h := range s.entries {
			s.setAdapters(fmt.Sprintf("a%d", i))
			h.pause()
			time.Sleep(leaseExpiry)
			h.resume()
		}
		s.setAdapters("last")
		s.entries[0].kill()
		time.Sleep(leaseExpiry)
		s.entries[0].start()
	})
	s.standins.Store.Standin.LoseAnswers(0)
	load.waitAnswers(t, 30)
	record := s.collectRecord(load)
	record.Faults = []audit.Window{faultWindow}
	auditRecord(t, record, append(servingGuarantees, controlGuarantees...)...)
}
