package host

import (
	"slices"
	"time"

	"github.com/acacialink/acacialink/internal/duty"
	"github.com/acacialink/acacialink/internal/endpoint"
	"github.com/acacialink/acacialink/internal/peer"
)

// snapshot is this host's state, for its peers.
func (h *Host) snapshot() *peer.Snapshot {
	now := time.Now()
	return &peer.Snapshot{
		Host: h.o.Settings.Name, Incarnation: h.inc, Uptime: now.Sub(h.begun).Milliseconds(), Wall: now.UnixMilli(),
		Loads: h.tracker.Loads(now), Spent: h.limiter.Spent(), Switching: h.switches(),
		Leads: h.leads() && !h.draining.Load(), Draining: h.draining.Load(),
	}
}

// usageEvery is the time after which a peer is told of usage counts again.
const usageEvery = 150 * time.Millisecond

// news adds what a peer has not been told.
func (h *Host) news(out *peer.Snapshot, told peer.Mark) peer.Mark {
	out.Placed, told.Placed = h.tracker.PlacedSince(told.Placed)
	out.Changes, told.Changes = h.registry.since(told.Changes)
	if now := time.Now(); now.Sub(told.Usage) >= usageEvery {
		out.Usage, told.Usage = h.counter.Own(), now
	}
	return told
}

// hear takes a peer's snapshot; unless it is newer than what was heard before,
// only its news count.
func (h *Host) hear(s *peer.Snapshot, newer bool) {
	now := time.Now()
	h.tracker.PeerPlaced(now, s.Placed)
	h.counter.Peer(s.Incarnation, s.Usage)
	h.hearChanges(now, s.Changes)
	if !newer {
		return
	}
	h.tracker.Peer(now, s.Host, s.Loads)
	h.limiter.Peer(now, s.Host, s.Incarnation, s.Uptime > now.Sub(h.begun).Milliseconds(), s.Spent)
	h.tracker.Switching(now, s.Switching)
	h.truetime.Peer(s.Host, time.UnixMilli(s.Wall))
	h.hearSights(s)
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case s.Leads:
		h.leader, h.leaderAt = s.Host, now
	case h.leader == s.Host:
		h.leader = ""
	}
}

// switching notes an engine that this host ordered to change its stage.
func (h *Host) switching(e *endpoint.Endpoint, takes time.Duration) {
	now := time.Now()
	h.tracker.Switching(now, map[string]time.Duration{e.ID: takes})
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ordered[e.ID] = now.Add(takes)
}

// idle says that no host has work at the engines.
func (h *Host) idle(engines []*endpoint.Endpoint) bool { return h.tracker.Idle(time.Now(), engines) }

// switches are the engines that change their stage by this host's orders.
func (h *Host) switches() map[string]time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out map[string]time.Duration
	for id, until := range h.ordered {
		left := time.Until(until)
		if left <= 0 {
			delete(h.ordered, id)
			continue
		}
		if out == nil {
			out = make(map[string]time.Duration)
		}
		out[id] = left
	}
	return out
}

// leads says whether this host holds the duties.
func (h *Host) leads() bool {
	_, _, ok := h.leases.Held(duty.Piece)
	return ok
}

// covered says whether a holder of the duties takes this host's counts.
func (h *Host) covered() bool {
	h.mu.Lock()
	leader, fresh := h.leader, time.Since(h.leaderAt) < leaderLife
	h.mu.Unlock()
	if leader == "" || !fresh || h.draining.Load() {
		return false
	}
	return slices.Contains(h.audible(), leader)
}
