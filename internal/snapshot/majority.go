package snapshot

import (
	"context"
	"slices"
	"sync"

	"github.com/acacialink/acacialink/internal/resource"
	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// quorumAnswers collects the answers of the voters in one round.
type quorumAnswers struct {
	// mu guards the maps while answers arrive.
	mu sync.Mutex
	// revisions maps each host that answered to its revision.
	revisions map[string]resource.Revision
	// confirming contains the hosts whose confirmation counts in a majority.
	confirming map[string]bool
}

func newQuorumAnswers() *quorumAnswers {
	return &quorumAnswers{revisions: map[string]resource.Revision{}, confirming: map[string]bool{}}
}

func (a *quorumAnswers) add(peer string, answer *wire.ConfigPart) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.revisions[peer] = resource.Revision(answer.GetRevision())
	for _, vouch := range answer.GetVouches() {
		if vouch.GetMember() == peer {
			a.confirming[peer] = true
		}
	}
}

// highest returns a host with the highest revision, and that revision.
func (a *quorumAnswers) highest() (peer string, revision resource.Revision) {
	for host, rev := range a.revisions {
		if rev > revision {
			peer, revision = host, rev
		}
	}
	return peer, revision
}

// queryHosts sends the part to the hosts, except this one, in parallel and
// collects their answers. Hosts that do not answer are skipped.
func (r *Replica) queryHosts(ctx context.Context, answers *quorumAnswers, hosts []string, part *wire.ConfigPart) {
	var wg sync.WaitGroup
	for _, peer := range hosts {
		if peer == r.options.Host {
			continue
		}
		wg.Go(func() {
			answer, err := r.exchange(ctx, peer, part, exchangeTimeout)
			if err == nil {
				answers.add(peer, answer)
			}
		})
	}
	wg.Wait()
}

// confirmWithMajority confirms the view without the store and reports whether it
// succeeded. Every accepted change is stored by a majority of the voters, so the
// highest revision of any majority includes it. The age of the confirmation is
// measured from before the first request.
func (r *Replica) confirmWithMajority(ctx context.Context) bool {
	voters := r.Current().Voters()
	if len(voters.Hosts) == 0 {
		return false
	}
	asOf := r.options.Clock.now()
	part := &wire.ConfigPart{Revision: int64(r.Current().revision), FreshAgeUs: -1, WantAfter: wantNoChanges}
	answers := newQuorumAnswers()
	preferred, rest := splitVoters(r.options.Host, voters, r.lastConfirming)
	if len(rest) > 0 {
		// One additional voter per round, in turn, so that each voter is asked
		// regularly.
		r.majorityRounds++
		i := r.majorityRounds % len(rest)
		preferred, rest = append(slices.Clone(preferred), rest[i]), slices.Concat(rest[:i], rest[i+1:])
	}
	r.queryHosts(ctx, answers, preferred, part)
	if !voters.Majority(r.confirmingHosts(answers)) {
		r.queryHosts(ctx, answers, rest, part)
	}
	r.lastConfirming = answers.confirming
	peer, highest := answers.highest()
	if highest > r.Current().revision {
		r.fetchChanges(ctx, peer)
	}
	view := r.Current()
	if view.revision < highest || !view.voters.Majority(r.confirmingHosts(answers)) {
		return false
	}
	r.confirm(asOf, highest)
	r.qualify(asOf)
	r.counts.majority.Add(1)
	return true
}

// splitVoters splits the other voters into a preferred set, which together with
// the host is a majority, and the rest. Voters that confirmed in the last round
// come first. Each host starts with its successor in name order, so that all
// voters are asked equally often. During a replacement of the voters all of them
// are preferred.
func splitVoters(host string, voters VoterList, confirming map[string]bool) (preferred, rest []string) {
	all := voters.All()
	i := slices.Index(all, host)
	others := slices.Concat(all[i+1:], all[:max(i, 0)])
	if len(voters.Previous) > 0 {
		return others, nil
	}
	slices.SortStableFunc(others, func(a, b string) int { return boolRank(confirming[a]) - boolRank(confirming[b]) })
	count := min(len(voters.Hosts)/2, len(others))
	return others[:count], others[count:]
}

// confirmingHosts returns a function that reports whether a host's confirmation
// counts in a majority. It covers this host too.
func (r *Replica) confirmingHosts(answers *quorumAnswers) func(string) bool {
	return func(host string) bool {
		if host == r.options.Host {
			return r.qualified.Load() || r.faults.skipQualification
		}
		return answers.confirming[host]
	}
}

// fetchChanges installs a peer's later changes without using its confirmation.
func (r *Replica) fetchChanges(ctx context.Context, peer string) {
	for range maxCatchUpExchanges {
		revision := int64(r.Current().revision)
		part := &wire.ConfigPart{Revision: revision, FreshAgeUs: -1, WantAfter: revision}
		answer, err := r.exchange(ctx, peer, part, exchangeTimeout)
		if err == nil {
			err = r.applyAnswer(ctx, peer, answer)
		}
		if err != nil || int64(r.Current().revision) >= answer.GetRevision() {
			return
		}
	}
}
