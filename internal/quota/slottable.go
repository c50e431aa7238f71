package quota

import (
	"maps"
	"slices"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
)

// Slot says who owns the base part of one shard.
type Slot struct {
	// Host and Incarnation name the owner; empty after it gave the slot back.
	Host        string `json:"host,omitempty"`
	Incarnation string `json:"incarnation,omitempty"`
	// Fence grows with each change of the owner; zero means never owned.
	Fence int64 `json:"fence"`
}

// SlotTable is the record of all slots in the platform's store.
type SlotTable struct {
	Slots [Shards]Slot `json:"slots"`
}

// census is what a host knows of the others.
type census struct {
	// live are the hosts that may own slots.
	live map[string]struct{}
	// missing is since when an owner has been absent from the host list.
	missing map[string]time.Time
}

// observe takes a host list. A list without the host itself says nothing
// about the others.
func (c *census) observe(now time.Time, self string, hosts []backing.Host, owners map[string]struct{}) {
	listed := make(map[string]struct{}, len(hosts))
	live := make(map[string]struct{}, len(hosts))
	for _, h := range hosts {
		listed[h.Name] = struct{}{}
		if h.State == backing.HostLive {
			live[h.Name] = struct{}{}
		}
	}
	if _, ok := live[self]; !ok {
		c.missing = nil
		return
	}
	missing := make(map[string]time.Time)
	for owner := range owners {
		if _, ok := listed[owner]; ok {
			continue
		}
		missing[owner] = now
		if since, ok := c.missing[owner]; ok {
			missing[owner] = since
		}
	}
	c.live, c.missing = live, missing
}

// owners are the hosts that own slots.
func (t *SlotTable) owners() map[string]struct{} {
	owners := make(map[string]struct{})
	for _, s := range t.Slots {
		if s.Host != "" {
			owners[s.Host] = struct{}{}
		}
	}
	return owners
}

// plan returns the table as the host would change it: it takes its own slots
// of an earlier process, slots without an owner and those of hosts that have
// been missing for the time gone, up to its fair share, and gives back at
// most one slot above that share.
func (t SlotTable) plan(now time.Time, host, incarnation string, c *census, gone time.Duration) (SlotTable, bool) {
	if _, ok := c.live[host]; !ok {
		return t, false
	}
	before := t
	fair := (Shards + len(c.live) - 1) / len(c.live)
	own := t.renew(host, incarnation)
	for i := range t.Slots {
		if own < fair && t.Slots[i].free(now, c, gone) {
			t.Slots[i] = Slot{Host: host, Incarnation: incarnation, Fence: t.Slots[i].Fence + 1}
			own++
		}
	}
	if own > fair {
		t.giveOne(host)
	}
	return t, t != before
}

// renew takes over the slots of the host's earlier processes and counts its
// slots.
func (t *SlotTable) renew(host, incarnation string) int {
	own := 0
	for i := range t.Slots {
		s := &t.Slots[i]
		if s.Host != host {
			continue
		}
		own++
		if s.Incarnation != incarnation {
			*s = Slot{Host: host, Incarnation: incarnation, Fence: s.Fence + 1}
		}
	}
	return own
}

func (s *Slot) free(now time.Time, c *census, gone time.Duration) bool {
	if s.Host == "" {
		return true
	}
	since, ok := c.missing[s.Host]
	return ok && now.Sub(since) >= gone
}

// giveOne gives back the host's last slot.
func (t *SlotTable) giveOne(host string) {
	for i := range slices.Backward(t.Slots[:]) {
		if t.Slots[i].Host == host {
			t.Slots[i] = Slot{Fence: t.Slots[i].Fence}
			return
		}
	}
}

// without returns the table after the host gave back all its slots.
func (t SlotTable) without(host string) SlotTable {
	for i := range t.Slots {
		if t.Slots[i].Host == host {
			t.Slots[i] = Slot{Fence: t.Slots[i].Fence}
		}
	}
	return t
}

// counts is the number of slots by host, for dumps.
func (t *SlotTable) counts() map[string]int {
	n := make(map[string]int)
	for _, s := range t.Slots {
		n[s.Host]++
	}
	maps.DeleteFunc(n, func(host string, _ int) bool { return host == "" })
	return n
}
