package host

import (
	"time"

	"github.com/acacialink/acacialink/internal/duty"
	"github.com/acacialink/acacialink/internal/lease"
	"github.com/acacialink/acacialink/internal/record"
)

// newLeaseSet returns the lease set for the control lease.
func (h *Host) newLeaseSet() *lease.Set {
	return lease.New(lease.Options{
		Host: h.opts.Settings.Name, Incarnation: h.incarnation, Store: h.opts.Ports.Store,
		Settings:  lease.Settings{TTL: leaderLeaseTTL, Renew: leaderLeaseRenewInterval, Margin: leaderLeaseMargin, OrderDeadline: leaderOrderDeadline, CallTimeout: readTimeout},
		Pieces:    func() []string { return []string{duty.Piece} },
		Preferred: h.preferredLeader, Marks: record.NewMarks(h.opts.Settings.Name, h.incarnation), Log: h.opts.Log,
	})
}

// newLeaderTasks returns the runner of the leader tasks.
func (h *Host) newLeaderTasks() *duty.Holder {
	return duty.NewHolder(duty.Options{
		Host: h.opts.Settings.Name, Incarnation: h.incarnation, Leases: h.leases, Clock: h.clock,
		Quiet: h.opts.Settings.Lease + leaderWaitMargin, Settle: usageSettlingDelay,
		Counter: h.counter, Store: h.opts.Ports.Store, Reporter: h.opts.Ports.Reporter, Engines: h.opts.Ports.Engines,
		Catalog: h.catalog, Endpoints: h.endpoints, Balance: duty.DefaultBalance(), Switching: h.recordStageOrder, Idle: h.enginesIdle, Log: h.opts.Log,
	})
}

// preferredLeader returns the host that should hold the control lease: the current
// leader, or, while there is none, this host if it is a store watcher. False means
// that this host has no preference.
func (h *Host) preferredLeader(string) (string, bool) {
	if _, _, ok := h.leases.Held(duty.Piece); ok {
		return h.opts.Settings.Name, true
	}
	h.mu.Lock()
	leader, fresh := h.leader, time.Since(h.leaderAt) < leaderReportTTL
	h.mu.Unlock()
	if leader != "" && fresh {
		return leader, true
	}
	return h.opts.Settings.Name, h.watchesStore() && !h.draining.Load()
}
