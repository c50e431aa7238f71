//go:build linux

package fault

import (
	"testing"
	"time"

	"github.com/acacialink/acacialink/internal/audit"
)

// floodDuration is how long a workspace sends at several times its rate.
const floodDuration = 15 * time.Second

func TestRateLimitHoldsAcrossEntryHosts(t *testing.T) {
	spec := smallSite
	spec.rates = map[string][2]int64{"flooding": {300, 600}, "modest": {100_000, 1_000_000}}
	s := newSite(t, spec)
	load := s.startLoad(24, 10)
	time.Sleep(floodDuration)
	auditRecord(t, s.collectRecord(load), append(servingGuarantees, audit.Rates)...)
}
