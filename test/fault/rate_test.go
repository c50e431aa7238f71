//go:build linux

package fault

import (
	"testing"
	"time"

	"github.com/acacialink/acacialink/internal/audit"
)

// floodTime is how long a workspace sends several times its rate.
const floodTime = 15 * time.Second

func TestFloodingWorkspaceStaysWithinItsRateOverAllHosts(t *testing.T) {
	p := small
	p.rates = map[string][2]int64{"flooding": {300, 600}, "modest": {100_000, 1_000_000}}
	s := newSite(t, p)
	l := s.startLoad(24, 10)
	time.Sleep(floodTime)
	judge(t, s.record(l), append(served, audit.Rates)...)
}
