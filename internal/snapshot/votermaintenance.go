package snapshot

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Limits and intervals of the list of voters.
const (
	// maxVoters limits the number of voters, and thereby the messages of a
	// round without the store.
	maxVoters = 9
	// minVoters is the minimum number of live hosts for a list of voters: with
	// fewer, the loss of one host would leave no majority.
	minVoters = 3
	// voterCheckInterval is the time between two checks of the list.
	voterCheckInterval = 5 * time.Second
	// urgentVoterCheckInterval is the time between two checks while the
	// deployment has no voters or replaces them: until that is done, it cannot
	// continue without the store.
	urgentVoterCheckInterval = 100 * time.Millisecond
)

// runVoterMaintenance replaces voters that are no longer live, until ctx ends.
func (r *Replica) runVoterMaintenance(ctx context.Context) {
	pendingChecks := 0
	for {
		timer := time.NewTimer(r.voterCheckDelay())
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		pendingChecks = r.checkVoters(ctx, pendingChecks)
	}
}

func (r *Replica) voterCheckDelay() time.Duration {
	voters := r.Current().Voters()
	if len(voters.Hosts) == 0 || len(voters.Previous) > 0 {
		return urgentVoterCheckInterval
	}
	return voterCheckInterval
}

// checkVoters checks the list once and returns the number of consecutive checks
// that found a change pending. The host that ranks first updates the list at its
// first check, and each following host one check later, so that a disconnected
// host does not block the update. The compare-and-swap of the log prevents
// concurrent updates.
func (r *Replica) checkVoters(ctx context.Context, pendingChecks int) int {
	live := withoutLeaving(r.options.Directory())
	if _, due := nextVoters(r.Current().voters, live); !due || r.storeFailed.Load() {
		return 0
	}
	rank := slices.Index(rankHosts("voters", mergeNames(live, nil)), r.options.Host)
	if rank < 0 || pendingChecks < rank {
		return pendingChecks + 1
	}
	if err := r.updateVoters(ctx, live); err != nil {
		r.options.Logger.Warn("updating the list of voters failed", "error", err.Error())
	}
	return 0
}

// updateVoters performs one step: it starts a replacement of the list, or
// completes a replacement that a majority of each list has.
func (r *Replica) updateVoters(ctx context.Context, live []Peer) error {
	v := r.Current()
	next, due := nextVoters(v.voters, live)
	if !due {
		return nil
	}
	if r.faults.skipJointVoters {
		next.Previous = nil
	}
	if len(v.voters.Previous) > 0 && !r.push(ctx, v.revision) {
		return nil
	}
	before := v.voters
	outcome, err := r.change(ctx, func(v *View) (Change, error) {
		if !sameVoters(v.voters, before) {
			return Change{}, nil
		}
		return Change{Voters: &next}, nil
	})
	if err == nil && outcome.Changed {
		r.options.Logger.Info("voters", "hosts", next.Hosts, "previous", next.Previous, "revision", int64(outcome.Revision))
	}
	return err
}

// ErrNotVoters reports that none of the hosts to be removed is a voter.
var ErrNotVoters = errors.New("none of the hosts is a voter")

// ReplaceVoters removes hosts from the list of voters. The operator asserts that
// their processes have ended. It needs no majority of the replaced list, so it
// can repair a list that has lost its majority. If a named host is in fact still
// running, and reaches a majority of the old list but neither the store nor the
// new voters, it may continue with an outdated configuration. ReplaceVoters
// returns ErrNotVoters if none of the hosts is a voter.
func (r *Replica) ReplaceVoters(ctx context.Context, stopped []string) (Outcome, error) {
	live := slices.DeleteFunc(withoutLeaving(r.options.Directory()), func(p Peer) bool { return slices.Contains(stopped, p.Name) })
	return r.Change(ctx, func(v *View) (Change, error) {
		if !slices.ContainsFunc(stopped, v.voters.Contains) {
			return Change{}, ErrNotVoters
		}
		return Change{Voters: &VoterList{Hosts: chooseVoters(v.voters.Hosts, live)}}, nil
	})
}

// nextVoters returns the list that should replace l, and whether it differs
// from l.
func nextVoters(l VoterList, live []Peer) (VoterList, bool) {
	if len(l.Previous) > 0 {
		return VoterList{Hosts: l.Hosts}, true
	}
	chosen := chooseVoters(l.Hosts, live)
	if slices.Equal(chosen, l.Hosts) {
		return l, false
	}
	return VoterList{Hosts: chosen, Previous: l.Hosts}, true
}

func sameVoters(a, b VoterList) bool {
	return slices.Equal(a.Hosts, b.Hosts) && slices.Equal(a.Previous, b.Previous)
}

// chooseVoters selects an odd number of live hosts as voters, distributed over the
// failure domains, with preference for the current voters. The result is in name
// order. It is empty if there are fewer than minVoters live hosts.
func chooseVoters(current []string, live []Peer) []string {
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
	for domain, hosts := range byDomain {
		byDomain[domain] = currentFirst(current, rankHosts("voters", hosts))
		domains = append(domains, domain)
	}
	domains = rankHosts("voters", domains)
	var chosen []string
	for i := 0; len(chosen) < count; i++ {
		for _, domain := range domains {
			if i < len(byDomain[domain]) && len(chosen) < count {
				chosen = append(chosen, byDomain[domain][i])
			}
		}
	}
	slices.Sort(chosen)
	return chosen
}

// currentFirst returns the hosts with the current voters first, otherwise in the
// given order.
func currentFirst(current, hosts []string) []string {
	ordered := slices.Clone(hosts)
	slices.SortStableFunc(ordered, func(a, b string) int {
		return boolRank(slices.Contains(current, a)) - boolRank(slices.Contains(current, b))
	})
	return ordered
}

// boolRank returns a sort rank: 0 if first is true, and 1 otherwise.
func boolRank(first bool) int {
	if first {
		return 0
	}
	return 1
}
