//go:build linux

package fault

import (
	"fmt"
	"testing"
	"time"

	"github.com/acacialink/acacialink/internal/audit"
	"github.com/acacialink/acacialink/internal/backing"
)

// TestControlOrdersDoNotInterruptRequests makes engines load and unload adapters
// and the provider start endpoints under load, without faults.
func TestControlOrdersDoNotInterruptRequests(t *testing.T) {
	s := newSite(t, siteSpec{entries: 3, engines: 3, services: 2, minEngines: 2})
	load := s.startLoad(12, 12)
	for i := range 4 {
		s.setAdapters(fmt.Sprintf("a%d", i))
		load.waitAnswers(t, 30)
	}
	auditRecord(t, s.collectRecord(load), append(servingGuarantees, audit.ConflictingOrders, audit.PlannedChanges)...)
}

func TestLeavingEndpointReceivesNoNewRequests(t *testing.T) {
	s := newSite(t, smallSite)
	load := s.startLoad(12, 13)
	load.waitAnswers(t, 30)
	for _, name := range []string{"engine-1", "orders-1"} {
		s.standins.HostList.Standin.Set(backing.Host{
			Name: name, Domain: domains[0], State: backing.HostLeaving, Address: s.agent(name).inbound.address(),
		})
	}
	time.Sleep(3 * audit.DefaultBounds().LeaveWithin)
	load.waitAnswers(t, 10)
	auditRecord(t, s.collectRecord(load), append(servingGuarantees, audit.LeavingEndpoints)...)
}
