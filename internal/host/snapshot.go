package host

import (
	"slices"
	"time"

	"github.com/acacialink/acacialink/internal/duty"
	"github.com/acacialink/acacialink/internal/endpoint"
	"github.com/acacialink/acacialink/internal/peer"
)

// snapshot is what this host tells its peers.
func (h *Host) snapshot() *peer.Snapshot {
	loads, placed := h.tracker.Loads(time.Now())
	_, _, leads := h.leases.Held(duty.Piece)
	return &peer.Snapshot{
		Host: h.o.Settings.Name, Incarnation: h.inc, Uptime: time.Since(h.begun).Milliseconds(), Wall: time.Now().UnixMilli(),
		Loads: loads, Placed: placed, Spent: h.limiter.Spent(), Usage: h.usage(),
		Switching: h.switches(), Leads: leads && !h.draining.Load(), Draining: h.draining.Load(),
	}
}

// hear takes a peer's snapshot.
func (h *Host) hear(s *peer.Snapshot) {
	now := time.Now()
	h.tracker.Peer(now, s.Host, s.Loads, s.Placed)
	h.limiter.Peer(s.Incarnation, s.Uptime > now.Sub(h.begun).Milliseconds(), s.Spent)
	h.tracker.Switching(now, s.Switching)
	h.counter.Peer(s.Incarnation, s.Usage)
	h.truetime.Peer(s.Host, time.UnixMilli(s.Wall))
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case s.Leads:
		h.leader, h.leaderAt = s.Host, now
	case h.leader == s.Host:
		h.leader = ""
	}
}

// usageEvery is the time between the snapshots that hold usage counts.
const usageEvery = 800 * time.Millisecond

// usage is the counts for peers, or nil in the snapshots between.
func (h *Host) usage() map[int64]map[string]int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now := time.Now(); now.Sub(h.usageAt) >= usageEvery {
		h.usageAt = now
		return h.counter.Own()
	}
	return nil
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
	_, heard := h.group.Audible()
	return slices.Contains(heard, leader)
}
