package member

import (
	"time"

	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// Call is an exchange to make with a peer.
type Call struct {
	// Address is the peer's address.
	Address string
	Message *wire.MemberPart
}

// Tick advances the table by one period and returns the calls to make. It must
// be called once per Config.Period. The outcome of each call is passed to
// HandleAnswer or HandleFailure.
func (t *Table) Tick(now time.Time) []Call {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ticks++
	t.stats.Ticks++
	if t.ticks%compareTicks == 0 {
		t.compareDue = true
		t.prune(now)
	}
	t.expireSuspects(now)
	t.updateWatches(now)
	t.publishDirectStates(now)
	targets := t.targets()
	calls := make([]Call, 0, len(targets))
	for _, target := range targets {
		calls = append(calls, Call{Address: target.address, Message: t.requestFor(target)})
	}
	t.stats.Calls += int64(len(calls))
	return calls
}

// target is a peer to call. record is nil if only the peer's address is known.
type target struct {
	address string
	record  *record
}

// targets returns the peers to call in this tick. The caller holds mu.
func (t *Table) targets() []target {
	var list []target
	for range t.cfg.Fanout {
		if r := t.nextPeer(); r != nil {
			list = append(list, target{r.address, r})
		}
	}
	if len(list) == 0 || t.ticks%probeTicks == 0 {
		list = append(list, t.probeTargets(max(1, t.cfg.Fanout-len(list)))...)
	}
	return list
}

// nextPeer returns the next member of the shuffled round, or nil if there is
// none. Calling the members in rounds reaches each within a bounded time. The
// caller holds mu.
func (t *Table) nextPeer() *record {
	for range 2 {
		for len(t.callOrder) > 0 {
			r := t.records[t.callOrder[0]]
			t.callOrder = t.callOrder[1:]
			if r != nil && r != t.self && r.state != Gone {
				return r
			}
		}
		t.shuffle()
	}
	return nil
}

// shuffle starts a new round over all members that are not gone. The caller
// holds mu.
func (t *Table) shuffle() {
	t.callOrder = t.callOrder[:0]
	for _, r := range t.sortedMembers() {
		if r != t.self && r.state != Gone {
			t.callOrder = append(t.callOrder, r.id)
		}
	}
	t.rng.Shuffle(len(t.callOrder), func(i, j int) { t.callOrder[i], t.callOrder[j] = t.callOrder[j], t.callOrder[i] })
}

// probeTargets returns up to n random peers that are gone or were never
// reached. Probing them reunites the sides of a healed partition and lets a new
// host join. The caller holds mu.
func (t *Table) probeTargets(n int) []target {
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

// requestFor returns the message for one peer. The caller holds mu.
func (t *Table) requestFor(to target) *wire.MemberPart {
	part := &wire.MemberPart{}
	if to.record == nil {
		t.self.appendTo(part) // The peer may not have this host's record.
	} else if to.record.state.suspectOrGone() {
		to.record.appendTo(part) // Lets the peer refute it.
	}
	for _, r := range t.gossip.next(deltaBytes, func(r *record) bool { return r == to.record }) {
		r.appendTo(part)
	}
	if t.compareDue {
		t.compareDue = false
		part.Buckets = t.checksums[:]
		part.Buckets = append([]uint32(nil), part.Buckets...)
	}
	return part
}

// HandleExchange merges a peer's message and returns the answer. from is the
// peer's name in its certificate.
func (t *Table) HandleExchange(from string, in *wire.MemberPart, now time.Time) *wire.MemberPart {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Answered++
	received := t.receive(from, in, now)
	out := &wire.MemberPart{}
	id := recordID(kindMember, from)
	if r := t.records[id]; r == nil || received[id] {
		t.self.appendTo(out) // The caller is new or sent its own record.
	} else if r.state.suspectOrGone() {
		r.appendTo(out)
	}
	for _, r := range t.gossip.next(deltaBytes, func(r *record) bool { return received[r.id] }) {
		r.appendTo(out)
	}
	if len(in.GetBuckets()) == bucketCount {
		t.addDigests(out, in.GetBuckets())
	}
	t.addRequested(out, in.GetWant())
	return out
}

// HandleAnswer merges the answer to a call. It returns the message to send to the
// same peer next, or nil if the exchange is complete.
func (t *Table) HandleAnswer(from string, answer *wire.MemberPart, now time.Time) *wire.MemberPart {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.receive(from, answer, now)
	if len(answer.GetDiffering()) == 0 {
		return nil
	}
	return t.repairMessage(answer)
}

// HandleFailure records that a call to the address got no answer. It suspects the
// member at the address unless this host is isolated.
func (t *Table) HandleFailure(address string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Failures++
	t.connectivity.failures++
	t.compareDue = true
	if t.connectivity.isolated(t.cfg.Period, now) {
		return
	}
	for _, r := range t.records {
		if r.kind == kindMember && r.address == address && r != t.self {
			t.suspectUnresponsive(r, now)
		}
	}
}

// suspectUnresponsive suspects a member that did not answer, unless it was in
// contact within the last two periods or changed its state within
// Config.SuspectTimeout, for example by refuting a suspicion. The caller holds
// mu.
func (t *Table) suspectUnresponsive(r *record, now time.Time) {
	recent := now.Sub(r.lastContact) < 2*t.cfg.Period || now.Sub(r.since) < t.cfg.SuspectTimeout
	if r.state.suspectOrGone() || recent {
		return
	}
	t.suspect(r, now)
}

// receive merges a peer's records and returns their IDs. The caller holds mu.
func (t *Table) receive(from string, in *wire.MemberPart, now time.Time) map[uint64]bool {
	t.connectivity.recordContact(now)
	received := make(map[uint64]bool)
	for _, r := range recordsOf(in) {
		received[r.id] = true
		t.merge(r, now)
	}
	if r := t.records[recordID(kindMember, from)]; r != nil {
		r.lastContact = now
	}
	return received
}
