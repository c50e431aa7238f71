//go:build linux

package fault

import (
	"fmt"
	"testing"
	"time"

	"github.com/acacialink/acacialink/internal/audit"
	"github.com/acacialink/acacialink/internal/backing"
)

// TestOrdersCutNoRequest lets engines load and drop adapters and the provider
// start endpoints, with no fault.
func TestOrdersCutNoRequest(t *testing.T) {
	s := newSite(t, plan{entries: 3, engines: 3, services: 2, least: 2})
	l := s.startLoad(12, 12)
	for i := range 4 {
		s.setAdapters(fmt.Sprintf("a%d", i))
		l.waitAnswers(t, 30)
	}
	judge(t, s.record(l), append(served, audit.ConflictingOrders, audit.PlannedChanges)...)
}

func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	s := newSite(t, small)
	l := s.startLoad(12, 13)
	l.waitAnswers(t, 30)
	for _, name := range []string{"engine-1", "orders-1"} {
		s.standins.HostList.Standin.Set(backing.Host{
			Name: name, Domain: domains[0], State: backing.HostLeaving, Address: s.agent(name).inbound.address(),
		})
	}
	time.Sleep(3 * audit.DefaultBounds().LeaveWithin)
	l.waitAnswers(t, 10)
	judge(t, s.record(l), append(served, audit.LeavingEndpoints)...)
}
