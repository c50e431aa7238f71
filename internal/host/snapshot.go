package host

import (
	"math"
	"slices"
	"time"

	"github.com/acacialink/acacialink/internal/endpoint"
	"github.com/acacialink/acacialink/internal/leader"
	"github.com/acacialink/acacialink/internal/peer"
)

// snapshot builds a snapshot of this host's state for delegates, without updates. A
// delegate speaks for its members too.
func (h *Host) snapshot() *peer.Snapshot {
	now := time.Now()
	state := h.group.State()
	h.shareRates(state)
	members := make(map[string]bool, len(state.Members))
	for _, name := range state.Members {
		members[name] = true
	}
	s := &peer.Snapshot{
		Host: h.opts.Settings.Name, Incarnation: h.incarnation, UptimeMillis: now.Sub(h.startedAt).Milliseconds(), WallMillis: now.UnixMilli(),
		Delegate: state.Delegate, Members: state.Members,
		Loads:          h.tracker.Loads(now, func(host string) bool { return members[host] }),
		ConsumedTokens: h.limiter.Usage(), StageChanges: h.pendingStageChanges(), Rates: h.tracker.Statements(now), Departures: h.tracker.Departures(now), Evacuations: h.evacuations.All(), Starts: h.tracker.Starts(now), StatedLoads: h.tracker.LoadReports(now),
		Leader: h.isLeader() && !h.termination.Stopping(), Draining: h.termination.Stopping(),
	}
	if !state.Delegate {
		s.WindowTokens = h.limiter.RecentUsage(now)
	}
	return s
}

// answerMember turns a snapshot for delegates into the answer to a member's report: it
// speaks for all hosts but that member.
func (h *Host) answerMember(out, report *peer.Snapshot) {
	now := time.Now()
	out.Loads = h.tracker.Loads(now, func(host string) bool { return host != report.Host })
	out.Members, out.ConsumedTokens = nil, nil
	out.StageChanges = h.tracker.StageChanges(now)
	out.Walls = h.medianClock.Readings(maxWallReadings)
	out.LeaderHost = h.currentLeader()
	after := report.After
	if report.AfterOf != h.incarnation {
		// The evidence is sent from its beginning: it counts for minutes.
		after = peer.UpdatePosition{Dispatches: math.MaxInt64, Changes: math.MaxInt64}
	}
	out.Evidence = h.suspects.AllSince(now, after.Reports, after.Survivals)
	out.Dispatches = h.tracker.AllDispatchesSince(after.Dispatches, report.Host)
	out.Changes, out.ChangesNext = h.registry.allChangesSince(after.Changes)
}

// maxWallReadings bounds the readings of wall clocks in an answer to a member.
const maxWallReadings = 8

// currentLeader returns the leader that this host is or is in touch with; empty if
// there is none.
func (h *Host) currentLeader() string {
	if h.isLeader() && !h.termination.Stopping() {
		return h.opts.Settings.Name
	}
	if h.leaderReachable() {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.leader
	}
	return ""
}

// usageInterval is the least time between sending usage counts to a peer.
const usageInterval = 150 * time.Millisecond

// addUpdates adds to out the updates after position sent for the given peer and returns
// the position after them. Usage counts go to the leader, and from members to their
// home, which passes them on.
func (h *Host) addUpdates(out *peer.Snapshot, to string, sent peer.UpdatePosition) peer.UpdatePosition {
	out.Dispatches = h.tracker.OwnDispatchesSince(sent.Dispatches)
	sent.Dispatches = out.Dispatches.Next
	out.Changes, sent.Changes = h.registry.changesSince(sent.Changes)
	out.Evidence = h.suspects.OwnSince(time.Now(), sent.Reports, sent.Survivals)
	sent.Reports, sent.Survivals = out.Evidence.Reports.Next, out.Evidence.Survivals.Next
	if now := time.Now(); now.Sub(sent.UsageSentAt) >= usageInterval && (!out.Delegate || h.leaderIs(to)) {
		out.Usage, sent.UsageSentAt = h.counter.CountsFor(h.incarnation, h.memberIncarnations()), now
	}
	return sent
}

// leaderIs reports whether the named host last reported to be the leader.
func (h *Host) leaderIs(host string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leader == host
}

// memberIncarnations returns the incarnations of the members that report to this host.
func (h *Host) memberIncarnations() []string {
	state := h.group.State()
	h.mu.Lock()
	defer h.mu.Unlock()
	incarnations := make([]string, 0, len(state.Members))
	for _, name := range state.Members {
		if incarnation := h.incarnations[name]; incarnation != "" {
			incarnations = append(incarnations, incarnation)
		}
	}
	return incarnations
}

// receive applies a peer's snapshot. If newer is false, a later snapshot of the peer
// was applied before, and only the updates apply. What strangers report reaches this
// host through its delegate.
func (h *Host) receive(s *peer.Snapshot, from peer.Relation, newer bool) {
	now := time.Now()
	if from == peer.Stranger {
		h.receiveVersionReports(s)
		return
	}
	sender := s.Incarnation
	if from == peer.Home {
		sender += "/all" // numbered apart from what it sends to delegates
	}
	h.tracker.AddPeerDispatches(now, s.Host, sender, s.Dispatches, from == peer.Member)
	h.suspects.Receive(now, sender, s.Evidence, from == peer.Member)
	for incarnation, counts := range s.Usage {
		h.counter.MergePeer(incarnation, counts)
	}
	h.receiveChanges(now, s.Changes)
	if !newer {
		return
	}
	h.tracker.SetPeerLoads(now, s.Host, s.Loads)
	h.tracker.SetStageChanges(now, s.StageChanges)
	h.tracker.AddStatements(now, s.Rates)
	h.tracker.AddDepartures(now, s.Departures)
	h.tracker.AddStarts(now, s.Starts)
	h.tracker.AddLoadReports(now, s.StatedLoads)
	h.applyEvacuations(s.Evacuations)
	h.medianClock.RecordPeer(s.Host, time.UnixMilli(s.WallMillis))
	for host, wall := range s.Walls {
		if host != h.opts.Settings.Name {
			h.medianClock.RecordPeer(host, time.UnixMilli(wall))
		}
	}
	switch from {
	case peer.FellowDelegate:
		h.limiter.AddPeerUsage(now, s.Host, s.Incarnation, s.UptimeMillis > now.Sub(h.startedAt).Milliseconds(), s.ConsumedTokens)
	case peer.Member:
		h.limiter.Adopt(now, s.Incarnation, s.ConsumedTokens, s.WindowTokens)
	case peer.Home, peer.Stranger:
	}
	h.receiveVersionReports(s)
	h.receiveLeader(s, from, now)
}

// receiveLeader records which host a peer's snapshot names as the leader.
func (h *Host) receiveLeader(s *peer.Snapshot, from peer.Relation, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.incarnations[s.Host] = s.Incarnation
	leaderName := ""
	switch {
	case s.Leader:
		leaderName = s.Host
	case from == peer.Home:
		leaderName = s.LeaderHost
	}
	switch {
	case leaderName != "" && leaderName != h.opts.Settings.Name:
		h.leader, h.leaderAt = leaderName, now
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

// streamsOn returns the number of streams of all hosts on the engines.
func (h *Host) streamsOn(engines []*endpoint.Endpoint) int {
	now, n := time.Now(), 0
	for _, e := range engines {
		n += h.tracker.LoadOn(now, e.ID).Streams
	}
	return n
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
	if leaderName == "" || !fresh || h.termination.Stopping() {
		return false
	}
	state := h.group.State()
	return slices.Contains(state.Reachable, leaderName) || !state.Delegate && len(state.Reachable) > 0
}
