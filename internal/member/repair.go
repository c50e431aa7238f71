package member

import "github.com/acacialink/acacialink/internal/rpc/wire"

// Anti-entropy repairs what gossip missed, such as changes during an outage of
// a host or in a lost message. The caller of an exchange sends its bucket
// checksums, the peer answers with the record digests of the buckets that
// differ, and the caller pushes the records that are newer locally and requests
// those that are newer on the peer.

// addDigests adds the digests of the buckets whose checksums differ from the
// peer's. It starts at a random bucket, so that all buckets are covered over
// time when maxDigests is reached. The caller holds mu.
func (t *Table) addDigests(out *wire.MemberPart, sums []uint32) {
	differing := make(map[uint64]bool)
	for i, sum := range sums {
		if sum != t.checksums[i] {
			differing[uint64(i)] = true
		}
	}
	if len(differing) == 0 {
		return
	}
	byBucket := make(map[uint64][]*record, len(differing))
	for _, r := range t.records {
		if differing[r.id%bucketCount] {
			byBucket[r.id%bucketCount] = append(byBucket[r.id%bucketCount], r)
		}
	}
	start := t.rng.Uint64N(bucketCount)
	for i := range uint64(bucketCount) {
		bucket := (start + i) % bucketCount
		if !differing[bucket] || len(out.Digests)+len(byBucket[bucket]) > maxDigests {
			continue
		}
		out.Differing = append(out.Differing, uint32(bucket))
		for _, r := range byBucket[bucket] {
			out.Digests = append(out.Digests, &wire.RecordDigest{Id: r.id, Version: r.version, State: uint32(r.state)})
		}
	}
}

// repairMessage returns the message that reconciles the buckets reported as
// differing by a peer, or nil if there is nothing to send or to request. The
// caller holds mu.
func (t *Table) repairMessage(answer *wire.MemberPart) *wire.MemberPart {
	out := &wire.MemberPart{}
	digests := make(map[uint64]*wire.RecordDigest, len(answer.GetDigests()))
	for _, d := range answer.GetDigests() {
		if len(digests) >= maxListLength || !validState(d.GetState()) {
			break
		}
		digests[d.GetId()] = d
		if t.needsRecord(d) {
			out.Want = append(out.Want, d.GetId())
		}
	}
	differing := make(map[uint64]bool, len(answer.GetDiffering()))
	for _, bucket := range answer.GetDiffering() {
		differing[uint64(bucket)] = true
	}
	remaining := repairBytes
	for _, r := range t.records {
		if remaining > 0 && differing[r.id%bucketCount] && newerThanDigest(r, digests[r.id]) {
			r.appendTo(out)
			remaining -= r.encodedSize()
		}
	}
	if len(out.Want) == 0 && remaining == repairBytes {
		return nil
	}
	t.stats.Repairs++
	t.compareDue = true
	return out
}

// needsRecord reports whether the table lacks a peer's record or holds an older
// version of it. The caller holds mu.
func (t *Table) needsRecord(d *wire.RecordDigest) bool {
	r := t.records[d.GetId()]
	if r != nil {
		return d.GetVersion() > r.version ||
			d.GetVersion() == r.version && State(d.GetState()).rank() > r.state.rank()
	}
	switch kindOf(d.GetId()) {
	case kindMember:
		return !State(d.GetState()).suspectOrGone()
	case kindHost:
		return State(d.GetState()) != Live
	default:
		return true
	}
}

// newerThanDigest reports whether a peer needs r, given the peer's digest of
// the record. A nil digest means that the peer does not have the record.
func newerThanDigest(r *record, digest *wire.RecordDigest) bool {
	if digest == nil {
		return r.inChecksum()
	}
	return r.version > digest.GetVersion() ||
		r.version == digest.GetVersion() && r.state.rank() > State(digest.GetState()).rank()
}

// addRequested adds the records that a peer requested, up to about
// requestedBytes. The caller holds mu.
func (t *Table) addRequested(out *wire.MemberPart, ids []uint64) {
	remaining := requestedBytes
	for _, id := range ids {
		r := t.records[id]
		if r == nil {
			continue
		}
		if remaining <= 0 {
			return
		}
		r.appendTo(out)
		remaining -= r.encodedSize()
	}
}
