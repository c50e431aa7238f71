package host

import (
	"time"

	"github.com/acacialink/acacialink/internal/leader"
	"github.com/acacialink/acacialink/internal/lease"
	"github.com/acacialink/acacialink/internal/record"
)

// newLeaseSet returns the lease set for the control lease.
func (h *Host) newLeaseSet() *lease.Set {
	return lease.New(lease.Options{
		Host: h.opts.Settings.Name, Incarnation: h.incarnation, Store: h.opts.Ports.Store,
		Settings:  lease.Settings{TTL: leaderLeaseTTL, RenewInterval: leaderLeaseRenewInterval, Margin: leaderLeaseMargin, WorkDeadline: leaderWorkDeadline, CallTimeout: readTimeout},
		Shards:    func() []string { return []string{leader.LeaseItem} },
		Preferred: h.preferredLeader, WriteTokens: record.NewWriteTokens(h.opts.Settings.Name, h.incarnation), Log: h.opts.Log,
	})
}

// newLeaderTasks returns the runner of the leader tasks.
func (h *Host) newLeaderTasks() *leader.Runner {
	return leader.NewRunner(leader.Options{
		Host: h.opts.Settings.Name, Incarnation: h.incarnation, Leases: h.leases, Clock: h.clock,
		ReturnDelay: h.opts.Settings.LeadershipReturnBound + leaderWaitMargin, SettlingDelay: usageSettlingDelay,
		Counter: h.counter, Store: h.opts.Ports.Store, EraNoticed: h.eraNoticed, Reporter: h.opts.Ports.Reporter, Engines: pausedEngines{h.opts.Ports.Engines, h.tracker},
		Catalog: h.catalog, Endpoints: h.endpoints, Balance: leader.DefaultBalance(), OnStageChange: h.recordStageOrder, EnginesIdle: h.enginesIdle, PrefillWork: h.tracker.PrefillWork, Streams: h.streamsOn, FirstStart: h.opts.Settings.FirstStart, Log: h.opts.Log,
	})
}

// preferredLeader returns the host that should hold the control lease: the current
// leader, or, while there is none, this host if it is a store watcher. A member that
// took the lease while the hosts found each other hands it over to a delegate. False
// means that this host has no preference.
func (h *Host) preferredLeader(string) (string, bool) {
	if state := h.peerState(); !state.Delegate && len(state.Reachable) > 0 {
		return state.Reachable[0], true
	}
	if _, _, ok := h.leases.Held(leader.LeaseItem); ok {
		return h.opts.Settings.Name, true
	}
	h.mu.Lock()
	leaderName, fresh := h.leader, time.Since(h.leaderAt) < leaderReportTTL
	h.mu.Unlock()
	if leaderName != "" && fresh {
		return leaderName, true
	}
	return h.opts.Settings.Name, h.watchesStore() && !h.termination.Stopping()
}
