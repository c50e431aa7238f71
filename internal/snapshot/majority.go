package snapshot

import (
	"context"
	"slices"
	"sync"

	"github.com/acacialink/acacialink/internal/resource"
	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// ballot is what the voters answered in one round.
type ballot struct {
	mu sync.Mutex
	// held is the revision of each host that answered.
	held map[string]resource.Revision
	// vouched is true for hosts whose word counts.
	vouched map[string]bool
}

func newBallot() *ballot {
	return &ballot{held: map[string]resource.Revision{}, vouched: map[string]bool{}}
}

func (b *ballot) add(peer string, answer *wire.ConfigPart) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held[peer] = resource.Revision(answer.GetRevision())
	for _, v := range answer.GetVouches() {
		if v.GetMember() == peer {
			b.vouched[peer] = true
		}
	}
}

// highest returns the host with the highest revision.
func (b *ballot) highest() (peer string, revision resource.Revision) {
	for p, r := range b.held {
		if r > revision {
			peer, revision = p, r
		}
	}
	return peer, revision
}

// ask exchanges with all the hosts in parallel and collects their answers.
func (h *Holder) ask(ctx context.Context, b *ballot, hosts []string, part *wire.ConfigPart) {
	var wg sync.WaitGroup
	for _, peer := range hosts {
		if peer == h.o.Host {
			continue
		}
		wg.Go(func() {
			answer, err := h.exchange(ctx, peer, part, exchangeTimeout)
			if err == nil {
				b.add(peer, answer)
			}
		})
	}
	wg.Wait()
}

// confirmWithMajority confirms the view without the store. Every accepted
// change is held by a majority of the voters, so the highest revision of any
// majority holds it. The age counts from before the first question.
func (h *Holder) confirmWithMajority(ctx context.Context) bool {
	voters := h.Current().Voters()
	if len(voters.Hosts) == 0 {
		return false
	}
	asOf := h.o.Clock.now()
	part := &wire.ConfigPart{Revision: int64(h.Current().revision), FreshAgeUs: -1, WantAfter: wantNothing}
	b := newBallot()
	first, rest := panel(h.o.Host, voters, h.lastVouched)
	if len(rest) > 0 {
		// One more a round, so that none is left unasked for long.
		h.panels++
		i := h.panels % len(rest)
		first, rest = append(slices.Clone(first), rest[i]), slices.Concat(rest[:i], rest[i+1:])
	}
	h.ask(ctx, b, first, part)
	if !voters.Majority(h.vouchers(b)) {
		h.ask(ctx, b, rest, part)
	}
	h.lastVouched = b.vouched
	peer, highest := b.highest()
	if highest > h.Current().revision {
		h.fetch(ctx, peer)
	}
	v := h.Current()
	if v.revision < highest || !v.voters.Majority(h.vouchers(b)) {
		return false
	}
	h.confirm(asOf, highest)
	h.qualify(asOf)
	h.counts.majority.Add(1)
	return true
}

// panel splits the other voters into as many as make a majority with the host
// itself, and the rest. Those that vouched last come first, and each host
// begins after itself in name order, so that all are asked equally often.
func panel(host string, voters VoterList, vouched map[string]bool) (first, rest []string) {
	all := voters.All()
	i := slices.Index(all, host)
	others := slices.Concat(all[i+1:], all[:max(i, 0)])
	if len(voters.Previous) > 0 {
		return others, nil
	}
	slices.SortStableFunc(others, func(a, b string) int { return boolRank(vouched[a]) - boolRank(vouched[b]) })
	need := min(len(voters.Hosts)/2, len(others))
	return others[:need], others[need:]
}

// vouchers says which hosts' word counts, this one's included.
func (h *Holder) vouchers(b *ballot) func(string) bool {
	return func(host string) bool {
		if host == h.o.Host {
			return h.qualified.Load() || h.flaws.vouchAtOnce
		}
		return b.vouched[host]
	}
}

// fetch takes a peer's later changes without its confirmation.
func (h *Holder) fetch(ctx context.Context, peer string) {
	for range maxDeltas {
		revision := int64(h.Current().revision)
		part := &wire.ConfigPart{Revision: revision, FreshAgeUs: -1, WantAfter: revision}
		answer, err := h.exchange(ctx, peer, part, exchangeTimeout)
		if err == nil {
			err = h.take(ctx, peer, answer)
		}
		if err != nil || int64(h.Current().revision) >= answer.GetRevision() {
			return
		}
	}
}
