package snapshot

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Bounds of the list of voters.
const (
	// maxVoters bounds the voters, and with them the messages of a round
	// without the store.
	maxVoters = 9
	// minVoters is the least number of live hosts that makes a list useful:
	// with fewer, the loss of one host would leave no majority.
	minVoters = 3
	// upkeepInterval is the time between two looks at the list, and
	// upkeepSoon the same while a site has no voters or replaces them: until
	// then it cannot go on without the store.
	upkeepInterval = 5 * time.Second
	upkeepSoon     = 100 * time.Millisecond
)

// runUpkeep replaces voters that are gone, until ctx ends.
func (h *Holder) runUpkeep(ctx context.Context) {
	looks := 0
	for {
		timer := time.NewTimer(h.upkeepWait())
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		looks = h.upkeep(ctx, looks)
	}
}

func (h *Holder) upkeepWait() time.Duration {
	voters := h.Current().Voters()
	if len(voters.Hosts) == 0 || len(voters.Previous) > 0 {
		return upkeepSoon
	}
	return upkeepInterval
}

// upkeep looks at the list once and returns how many looks in a row found it
// in need of a change. The host that ranks first acts at the first look; each
// other one gives those before it a look more, so that a host which is cut off
// holds nothing up. The compare-and-swap of the log keeps two from acting at once.
func (h *Holder) upkeep(ctx context.Context, looks int) int {
	live := staying(h.o.Directory())
	if _, due := nextVoters(h.Current().voters, live); !due || h.storeFailed.Load() {
		return 0
	}
	rank := slices.Index(rankHosts("voters", names(live, nil)), h.o.Host)
	if rank < 0 || looks < rank {
		return looks + 1
	}
	if err := h.updateVoters(ctx, live); err != nil {
		h.o.Logger.Warn("list of voters not updated", "error", err.Error())
	}
	return 0
}

// updateVoters takes one step: it replaces the list, or ends a replacement
// that a majority of both lists holds.
func (h *Holder) updateVoters(ctx context.Context, live []Peer) error {
	v := h.Current()
	next, due := nextVoters(v.voters, live)
	if !due {
		return nil
	}
	if h.flaws.replaceAtOnce {
		next.Previous = nil
	}
	if len(v.voters.Previous) > 0 && !h.push(ctx, v.revision) {
		return nil
	}
	before := v.voters
	o, err := h.change(ctx, func(v *View) (Change, error) {
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

// ErrVoters means that the hosts named as gone are not voters.
var ErrVoters = errors.New("none of the hosts is a voter")

// ReplaceVoters takes hosts out of the list of voters at an operator's word
// that their processes have ended. It needs no majority of the list that it
// replaces, so it mends a list that has lost its majority. A host that is
// named wrongly, runs on, and reaches a majority of the old list but neither
// the store nor the new voters could go on with an old configuration.
func (h *Holder) ReplaceVoters(ctx context.Context, gone []string) (Outcome, error) {
	live := slices.DeleteFunc(staying(h.o.Directory()), func(p Peer) bool { return slices.Contains(gone, p.Name) })
	return h.Change(ctx, func(v *View) (Change, error) {
		if !slices.ContainsFunc(gone, v.voters.Has) {
			return Change{}, ErrVoters
		}
		return Change{Voters: &VoterList{Hosts: chooseVoters(v.voters.Hosts, live)}}, nil
	})
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
