package host

import (
	"slices"
	"time"

	"github.com/acacialink/acacialink/internal/endpoint"
	"github.com/acacialink/acacialink/internal/leader"
	"github.com/acacialink/acacialink/internal/peer"
)

// snapshot builds a snapshot of this host's state for its peers, without updates.
func (h *Host) snapshot() *peer.Snapshot {
	now := time.Now()
	return &peer.Snapshot{
		Host: h.opts.Settings.Name, Incarnation: h.incarnation, UptimeMillis: now.Sub(h.startedAt).Milliseconds(), WallMillis: now.UnixMilli(),
		Loads: h.tracker.Loads(now), ConsumedTokens: h.limiter.Usage(), StageChanges: h.pendingStageChanges(),
		Leader: h.isLeader() && !h.draining.Load(), Draining: h.draining.Load(),
	}
}

// usageInterval is the least time between sending usage counts to a peer.
const usageInterval = 150 * time.Millisecond

// addUpdates adds to out the updates after position sent and returns the position
// after them.
func (h *Host) addUpdates(out *peer.Snapshot, sent peer.UpdatePosition) peer.UpdatePosition {
	out.Dispatches, sent.Dispatches = h.tracker.DispatchesSince(sent.Dispatches)
	out.Changes, sent.Changes = h.registry.changesSince(sent.Changes)
	if now := time.Now(); now.Sub(sent.UsageSentAt) >= usageInterval {
		out.Usage, sent.UsageSentAt = h.counter.OwnCounts(), now
	}
	return sent
}

// receive applies a peer's snapshot. If newer is false, a later snapshot of the peer
// was applied before, and only the updates apply.
func (h *Host) receive(s *peer.Snapshot, newer bool) {
	now := time.Now()
	h.tracker.AddPeerDispatches(now, s.Dispatches)
	h.counter.MergePeer(s.Incarnation, s.Usage)
	h.receiveChanges(now, s.Changes)
	if !newer {
		return
	}
	h.tracker.SetPeerLoads(now, s.Host, s.Loads)
	h.limiter.AddPeerUsage(now, s.Host, s.Incarnation, s.UptimeMillis > now.Sub(h.startedAt).Milliseconds(), s.ConsumedTokens)
	h.tracker.SetStageChanges(now, s.StageChanges)
	h.medianClock.RecordPeer(s.Host, time.UnixMilli(s.WallMillis))
	h.receiveVersionReports(s)
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case s.Leader:
		h.leader, h.leaderAt = s.Host, now
	case h.leader == s.Host:
		h.leader = ""
	}
}

// recordStageOrder records that this host orders an engine to change its stage, and
// the duration of the change.
func (h *Host) recordStageOrder(e *endpoint.Endpoint, duration time.Duration) {
	now := time.Now()
	h.tracker.SetStageChanges(now, map[string]time.Duration{e.ID: duration})
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stageChanges[e.ID] = now.Add(duration)
}

// enginesIdle reports whether no host has load on the engines.
func (h *Host) enginesIdle(engines []*endpoint.Endpoint) bool {
	return h.tracker.Idle(time.Now(), engines)
}

// pendingStageChanges returns the remaining time of each stage change that this host
// ordered, by endpoint ID; nil if there is none.
func (h *Host) pendingStageChanges() map[string]time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	var pending map[string]time.Duration
	for id, end := range h.stageChanges {
		remaining := time.Until(end)
		if remaining <= 0 {
			delete(h.stageChanges, id)
			continue
		}
		if pending == nil {
			pending = make(map[string]time.Duration)
		}
		pending[id] = remaining
	}
	return pending
}

// isLeader reports whether this host holds the control lease.
func (h *Host) isLeader() bool {
	_, _, ok := h.leases.Held(leader.LeaseItem)
	return ok
}

// leaderReachable reports whether another host is the leader and is reachable, so that
// it saves this host's usage counts. It is false while this host drains.
func (h *Host) leaderReachable() bool {
	h.mu.Lock()
	leaderName, fresh := h.leader, time.Since(h.leaderAt) < leaderReportTTL
	h.mu.Unlock()
	if leaderName == "" || !fresh || h.draining.Load() {
		return false
	}
	return slices.Contains(h.reachablePeers(), leaderName)
}
