package quota

import (
	"maps"
	"slices"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
)

// Slot is the ownership of the base part of one shard.
type Slot struct {
	// Host and Incarnation identify the owner. They are empty after the slot
	// was released.
	Host        string `json:"host,omitempty"`
	Incarnation string `json:"incarnation,omitempty"`
	// Fence increases with each change of owner; zero means never owned.
	Fence int64 `json:"fence"`
}

// SlotTable is the record of all slots in the platform's store.
type SlotTable struct {
	Slots [Shards]Slot `json:"slots"`
}

// hostPresence is a host's cached state of the presence of the other hosts.
type hostPresence struct {
	// live are the hosts that may own slots.
	live map[string]struct{}
	// absentSince is when an owner was first absent from the host list, by
	// host.
	absentSince map[string]time.Time
}

// update applies a host list. A list that does not show the host itself as live
// is no evidence about the others: it resets absentSince.
func (p *hostPresence) update(now time.Time, self string, hosts []backing.Host, owners map[string]struct{}) {
	listed := make(map[string]struct{}, len(hosts))
	live := make(map[string]struct{}, len(hosts))
	for _, h := range hosts {
		listed[h.Name] = struct{}{}
		if h.State == backing.HostLive {
			live[h.Name] = struct{}{}
		}
	}
	if _, ok := live[self]; !ok {
		p.absentSince = nil
		return
	}
	absentSince := make(map[string]time.Time)
	for owner := range owners {
		if _, ok := listed[owner]; ok {
			continue
		}
		absentSince[owner] = now
		if since, ok := p.absentSince[owner]; ok {
			absentSince[owner] = since
		}
	}
	p.live, p.absentSince = live, absentSince
}

// owners returns the hosts that own slots.
func (t *SlotTable) owners() map[string]struct{} {
	owners := make(map[string]struct{})
	for _, s := range t.Slots {
		if s.Host != "" {
			owners[s.Host] = struct{}{}
		}
	}
	return owners
}

// plan returns the table with the host's changes and whether it differs. Up to
// its fair share, the host claims slots without an owner and slots of hosts
// that have been absent for the given duration. It also claims the slots of its
// own earlier incarnations, and releases at most one slot above the fair share.
func (t SlotTable) plan(now time.Time, host, incarnation string, presence *hostPresence, absence time.Duration) (SlotTable, bool) {
	if _, ok := presence.live[host]; !ok {
		return t, false
	}
	before := t
	fairShare := (Shards + len(presence.live) - 1) / len(presence.live)
	owned := t.claimOwn(host, incarnation)
	for i := range t.Slots {
		if owned < fairShare && t.Slots[i].claimable(now, presence, absence) {
			t.Slots[i] = Slot{Host: host, Incarnation: incarnation, Fence: t.Slots[i].Fence + 1}
			owned++
		}
	}
	if owned > fairShare {
		t.releaseOne(host)
	}
	return t, t != before
}

// claimOwn claims the slots of the host's earlier incarnations and returns the
// number of the host's slots.
func (t *SlotTable) claimOwn(host, incarnation string) int {
	owned := 0
	for i := range t.Slots {
		s := &t.Slots[i]
		if s.Host != host {
			continue
		}
		owned++
		if s.Incarnation != incarnation {
			*s = Slot{Host: host, Incarnation: incarnation, Fence: s.Fence + 1}
		}
	}
	return owned
}

func (s *Slot) claimable(now time.Time, presence *hostPresence, absence time.Duration) bool {
	if s.Host == "" {
		return true
	}
	since, ok := presence.absentSince[s.Host]
	return ok && now.Sub(since) >= absence
}

// releaseOne releases the host's last slot.
func (t *SlotTable) releaseOne(host string) {
	for i := range slices.Backward(t.Slots[:]) {
		if t.Slots[i].Host == host {
			t.Slots[i] = Slot{Fence: t.Slots[i].Fence}
			return
		}
	}
}

// withoutHost returns the table with all slots of the host released.
func (t SlotTable) withoutHost(host string) SlotTable {
	for i := range t.Slots {
		if t.Slots[i].Host == host {
			t.Slots[i] = Slot{Fence: t.Slots[i].Fence}
		}
	}
	return t
}

// counts returns the number of slots by host, for state dumps.
func (t *SlotTable) counts() map[string]int {
	counts := make(map[string]int)
	for _, s := range t.Slots {
		counts[s.Host]++
	}
	maps.DeleteFunc(counts, func(host string, _ int) bool { return host == "" })
	return counts
}
