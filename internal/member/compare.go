package member

import "github.com/acacialink/acacialink/internal/rpc/wire"

// Comparison repairs what the spread of changes missed: a host that was away,
// a message that was lost. The caller of an exchange sends its checksums, the
// peer answers with the digests of the buckets that differ, and the caller
// sends what is newer here and asks for what is newer there.

// addDigests answers checksums of a peer. The caller holds mu.
func (t *Table) addDigests(out *wire.MemberPart, sums []uint32) {
	differing := make(map[uint64]bool)
	for i, sum := range sums {
		if sum != t.sums[i] {
			differing[uint64(i)] = true
		}
	}
	if len(differing) == 0 {
		return
	}
	byBucket := make(map[uint64][]*record, len(differing))
	for _, r := range t.records {
		if differing[r.id%buckets] {
			byBucket[r.id%buckets] = append(byBucket[r.id%buckets], r)
		}
	}
	start := t.rng.Uint64N(buckets)
	for i := range uint64(buckets) {
		bucket := (start + i) % buckets
		if !differing[bucket] || len(out.Digests)+len(byBucket[bucket]) > maxDigests {
			continue
		}
		out.Differing = append(out.Differing, uint32(bucket))
		for _, r := range byBucket[bucket] {
			out.Digests = append(out.Digests, &wire.RecordDigest{Id: r.id, Version: r.version, State: uint32(r.state)})
		}
	}
}

// repair returns the message that evens out the buckets that a peer's answer
// says differ, or nil if there is nothing to say. The caller holds mu.
func (t *Table) repair(answer *wire.MemberPart) *wire.MemberPart {
	out := &wire.MemberPart{}
	theirs := make(map[uint64]*wire.RecordDigest, len(answer.GetDigests()))
	for _, d := range answer.GetDigests() {
		if len(theirs) >= maxPart || !onWire(d.GetState()) {
			break
		}
		theirs[d.GetId()] = d
		if t.wants(d) {
			out.Want = append(out.Want, d.GetId())
		}
	}
	differing := make(map[uint64]bool, len(answer.GetDiffering()))
	for _, bucket := range answer.GetDiffering() {
		differing[uint64(bucket)] = true
	}
	size := offerBytes
	for _, r := range t.records {
		if size > 0 && differing[r.id%buckets] && offers(r, theirs[r.id]) {
			r.addTo(out)
			size -= r.size()
		}
	}
	if len(out.Want) == 0 && size == offerBytes {
		return nil
	}
	t.stats.Repairs++
	t.compare = true
	return out
}

// wants says whether a peer's record is news here. The caller holds mu.
func (t *Table) wants(d *wire.RecordDigest) bool {
	r := t.records[d.GetId()]
	if r != nil {
		return d.GetVersion() > r.version ||
			d.GetVersion() == r.version && State(d.GetState()).rank() > r.state.rank()
	}
	switch kindOf(d.GetId()) {
	case kindMember:
		return !State(d.GetState()).silent()
	case kindHost:
		return State(d.GetState()) != Live
	default:
		return true
	}
}

// offers says whether a record is news to a peer with the digest, which is nil
// where the peer has none.
func offers(r *record, theirs *wire.RecordDigest) bool {
	if theirs == nil {
		return r.counted()
	}
	return r.version > theirs.GetVersion() ||
		r.version == theirs.GetVersion() && r.state.rank() > State(theirs.GetState()).rank()
}

// addWanted answers with the records that a peer asked for. The caller holds mu.
func (t *Table) addWanted(out *wire.MemberPart, ids []uint64) {
	size := wantBytes
	for _, id := range ids {
		r := t.records[id]
		if r == nil {
			continue
		}
		if size <= 0 {
			return
		}
		r.addTo(out)
		size -= r.size()
	}
}
