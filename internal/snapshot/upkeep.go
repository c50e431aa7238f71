package snapshot

import (
	"context"
	"slices"
	"time"
)

// Bounds of the list of voters.
const (
	// maxVoters bounds the voters, and with them the messages of a round
	// without the store.
	maxVoters = 9
	// minVoters is the least number of live hosts that makes a list useful:
	// with fewer, the loss of one host would leave no majority.
	minVoters = 3
	// upkeepInterval is the time between two looks at the list.
	upkeepInterval = 5 * time.Second
)

// upkeep replaces voters that are gone. One host at a time does it, and the
// compare-and-swap of the log keeps two from doing it at once.
func (h *Holder) upkeep(ctx context.Context) {
	now := time.Now()
	if now.Before(h.upkeepDue) || h.storeFailed.Load() {
		return
	}
	h.upkeepDue = now.Add(upkeepInterval)
	live := h.o.Directory()
	ranked := rankHosts("voters", names(live, nil))
	if len(ranked) == 0 || ranked[0] != h.o.Host {
		return
	}
	if err := h.updateVoters(ctx, live); err != nil {
		h.o.Logger.Warn("list of voters not updated", "error", err.Error())
	}
}

// updateVoters takes one step: it replaces the list, or ends a replacement
// that a majority of both lists holds.
func (h *Holder) updateVoters(ctx context.Context, live []Peer) error {
	v := h.Current()
	next, due := nextVoters(v.voters, live)
	if !due {
		return nil
	}
	if len(v.voters.Previous) > 0 && !h.push(ctx, v.revision) {
		return nil
	}
	before := v.voters
	o, err := h.Change(ctx, func(v *View) (Change, error) {
		if !sameVoters(v.voters, before) {
			return Change{}, nil
		}
		return Change{Voters: &next}, nil
	})
	if err == nil && o.Changed {
		h.o.Logger.Info("voters", "hosts", next.Hosts, "previous", next.Previous, "revision", int64(o.Revision))
	}
	return err
}

// nextVoters returns the list that should follow, and whether it differs.
func nextVoters(l VoterList, live []Peer) (VoterList, bool) {
	if len(l.Previous) > 0 {
		return VoterList{Hosts: l.Hosts}, true
	}
	want := chooseVoters(l.Hosts, live)
	if slices.Equal(want, l.Hosts) {
		return l, false
	}
	return VoterList{Hosts: want, Previous: l.Hosts}, true
}

func sameVoters(a, b VoterList) bool {
	return slices.Equal(a.Hosts, b.Hosts) && slices.Equal(a.Previous, b.Previous)
}

// chooseVoters returns the voters in name order: an odd number of live hosts,
// spread over the domains, present voters first.
func chooseVoters(present []string, live []Peer) []string {
	if len(live) < minVoters {
		return nil
	}
	count := min(maxVoters, len(live))
	count -= (count + 1) % 2
	byDomain := map[string][]string{}
	for _, p := range live {
		byDomain[p.Domain] = append(byDomain[p.Domain], p.Name)
	}
	domains := make([]string, 0, len(byDomain))
	for d, hosts := range byDomain {
		byDomain[d] = presentFirst(present, rankHosts("voters", hosts))
		domains = append(domains, d)
	}
	domains = rankHosts("voters", domains)
	var chosen []string
	for i := 0; len(chosen) < count; i++ {
		for _, d := range domains {
			if i < len(byDomain[d]) && len(chosen) < count {
				chosen = append(chosen, byDomain[d][i])
			}
		}
	}
	slices.Sort(chosen)
	return chosen
}

func presentFirst(present, hosts []string) []string {
	ordered := slices.Clone(hosts)
	slices.SortStableFunc(ordered, func(a, b string) int {
		return boolRank(slices.Contains(present, a)) - boolRank(slices.Contains(present, b))
	})
	return ordered
}

func boolRank(first bool) int {
	if first {
		return 0
	}
	return 1
}
