package member

import (
	"time"

	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// Call asks for an exchange with a peer.
type Call struct {
	// Address is where to reach the peer.
	Address string
	Part    *wire.MemberPart
}

// Tick is to be called once a period. It returns whom to call with what; the
// outcome of each call goes to Answered or Failed.
func (t *Table) Tick(now time.Time) []Call {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ticks++
	t.stats.Ticks++
	if t.ticks%compareEvery == 0 {
		t.compare = true
		t.prune(now)
	}
	t.promote(now)
	t.rewatch(now)
	t.speak(now)
	targets := t.targets()
	calls := make([]Call, 0, len(targets))
	for _, target := range targets {
		calls = append(calls, Call{Address: target.address, Part: t.request(target)})
	}
	t.stats.Calls += int64(len(calls))
	return calls
}

// target is a peer to call; record is nil for one that is known by its
// address only.
type target struct {
	address string
	record  *record
}

// targets returns the peers of this tick. The caller holds mu.
func (t *Table) targets() []target {
	var list []target
	for range t.cfg.Fanout {
		if r := t.nextPeer(); r != nil {
			list = append(list, target{r.address, r})
		}
	}
	if len(list) == 0 || t.ticks%probeEvery == 0 {
		list = append(list, t.probes(max(1, t.cfg.Fanout-len(list)))...)
	}
	return list
}

// nextPeer returns the next member of a shuffled round, so that each is called
// within a bounded time. The caller holds mu.
func (t *Table) nextPeer() *record {
	for range 2 {
		for len(t.order) > 0 {
			r := t.records[t.order[0]]
			t.order = t.order[1:]
			if r != nil && r != t.self && r.state != Gone {
				return r
			}
		}
		t.shuffle()
	}
	return nil
}

// shuffle begins a new round. The caller holds mu.
func (t *Table) shuffle() {
	t.order = t.order[:0]
	for _, r := range t.sortedMembers() {
		if r != t.self && r.state != Gone {
			t.order = append(t.order, r.id)
		}
	}
	t.rng.Shuffle(len(t.order), func(i, j int) { t.order[i], t.order[j] = t.order[j], t.order[i] })
}

// probes returns up to n peers that are gone or were never heard: this is how
// two halves find each other again, and a new host the others. The caller
// holds mu.
func (t *Table) probes(n int) []target {
	known := make(map[string]bool)
	var list []target
	for _, r := range t.sortedMembers() {
		known[r.address] = true
		if r.state == Gone && r != t.self {
			list = append(list, target{r.address, r})
		}
	}
	for _, address := range t.seeds {
		if !known[address] && address != t.cfg.Address {
			list = append(list, target{address: address})
		}
	}
	t.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}

// request returns the message for one peer. The caller holds mu.
func (t *Table) request(to target) *wire.MemberPart {
	part := &wire.MemberPart{}
	if to.record == nil {
		t.self.addTo(part) // The peer may not know us.
	} else if to.record.state.silent() {
		to.record.addTo(part) // So that it can refute it.
	}
	for _, r := range t.hot.take(deltaBytes, func(r *record) bool { return r == to.record }) {
		r.addTo(part)
	}
	if t.compare {
		t.compare = false
		part.Buckets = t.sums[:]
		part.Buckets = append([]uint32(nil), part.Buckets...)
	}
	return part
}

// HandleExchange takes up a peer's message and returns the answer. from is
// the peer's name by its certificate.
func (t *Table) HandleExchange(from string, in *wire.MemberPart, now time.Time) *wire.MemberPart {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Answered++
	got := t.take(from, in, now)
	out := &wire.MemberPart{}
	id := hashName(kindMember, from)
	if r := t.records[id]; r == nil || got[id] {
		t.self.addTo(out) // The caller introduced itself.
	} else if r.state.silent() {
		r.addTo(out)
	}
	for _, r := range t.hot.take(deltaBytes, func(r *record) bool { return got[r.id] }) {
		r.addTo(out)
	}
	if len(in.GetBuckets()) == buckets {
		t.addDigests(out, in.GetBuckets())
	}
	t.addWanted(out, in.GetWant())
	return out
}

// Answered takes up the answer to a call. It returns a message to send to the
// same peer at once, or nil.
func (t *Table) Answered(from string, answer *wire.MemberPart, now time.Time) *wire.MemberPart {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.take(from, answer, now)
	if len(answer.GetDiffering()) == 0 {
		return nil
	}
	return t.repair(answer)
}

// Failed takes up that a call had no answer.
func (t *Table) Failed(address string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Failures++
	t.reach.failed++
	t.compare = true
	if t.reach.isolated(t.cfg.Period, now) {
		return
	}
	for _, r := range t.records {
		if r.kind == kindMember && r.address == address && r != t.self {
			t.doubt(r, now)
		}
	}
}

// doubt suspects a member that did not answer, unless it was heard of itself
// a moment ago or has just refuted a suspicion. The caller holds mu.
func (t *Table) doubt(r *record, now time.Time) {
	recent := now.Sub(r.heard) < 2*t.cfg.Period || now.Sub(r.since) < t.cfg.Suspect
	if r.state.silent() || recent {
		return
	}
	t.suspect(r, now)
}

// take merges a peer's records and returns their ids. The caller holds mu.
func (t *Table) take(from string, in *wire.MemberPart, now time.Time) map[uint64]bool {
	t.reach.heard(now)
	got := make(map[uint64]bool)
	for _, r := range recordsOf(in) {
		got[r.id] = true
		t.merge(r, now)
	}
	if r := t.records[hashName(kindMember, from)]; r != nil {
		r.heard = now
	}
	return got
}
