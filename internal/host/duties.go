package host

import (
	"time"

	"github.com/acacialink/acacialink/internal/duty"
	"github.com/acacialink/acacialink/internal/lease"
	"github.com/acacialink/acacialink/internal/record"
)

func (h *Host) newLeases() *lease.Set {
	return lease.New(lease.Options{
		Host: h.o.Settings.Name, Incarnation: h.inc, Store: h.o.Ports.Store,
		Settings:  lease.Settings{TTL: dutyTTL, Renew: dutyRenew, Margin: dutyMargin, OrderDeadline: dutyDeadline, CallTimeout: readTimeout},
		Pieces:    func() []string { return []string{duty.Piece} },
		Preferred: h.preferred, Marks: record.NewMarks(h.o.Settings.Name, h.inc), Log: h.o.Log,
	})
}

func (h *Host) newHolder() *duty.Holder {
	return duty.NewHolder(duty.Options{
		Host: h.o.Settings.Name, Incarnation: h.inc, Leases: h.leases, Clock: h.clock,
		Quiet: h.o.Settings.Lease + quietMargin, Settle: usageSettle,
		Counter: h.counter, Store: h.o.Ports.Store, Reporter: h.o.Ports.Reporter, Engines: h.o.Ports.Engines,
		Catalog: h.catalog, Endpoints: h.endpoints, Balance: duty.DefaultBalance(), Switching: h.switching, Idle: h.idle, Log: h.o.Log,
	})
}

// preferred is the host that should have the duties: the one that has them, and
// while nobody does, the ones that follow the store.
func (h *Host) preferred(string) (string, bool) {
	if _, _, ok := h.leases.Held(duty.Piece); ok {
		return h.o.Settings.Name, true
	}
	h.mu.Lock()
	leader, fresh := h.leader, time.Since(h.leaderAt) < leaderLife
	h.mu.Unlock()
	if leader != "" && fresh {
		return leader, true
	}
	return h.o.Settings.Name, h.follows() && !h.draining.Load()
}
