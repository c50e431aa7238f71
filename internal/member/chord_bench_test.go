package member

import (
	"fmt"
	"sort"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// BenchmarkChordRing measures a Chord ring for comparison: each member calls its
// successor and repairs one finger per second. A member learns of a crash when
// it repairs the finger; there is no full table.
func BenchmarkChordRing(b *testing.B) {
	for _, n := range memberCounts {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			for range b.N {
				r := newRing(n)
				bytes, rounds := r.crash(n / 2)
				b.ReportMetric(bytes, "quiet-B/s")
				b.ReportMetric(float64(rounds), "crash-repaired-s")
				b.ReportMetric(r.lookupHops(), "lookup-hops")
			}
		})
	}
}

// ringBits is the number of fingers per member.
const ringBits = 16

// ring is a Chord ring of members at points on a circle of size 2^ringBits.
type ring struct {
	points  []uint32
	dead    map[uint32]bool
	fingers map[uint32][ringBits]uint32
	sent    map[uint32]int
}

func newRing(n int) *ring {
	r := &ring{dead: map[uint32]bool{}, fingers: map[uint32][ringBits]uint32{}, sent: map[uint32]int{}}
	for i := range n {
		r.points = append(r.points, uint32(recordID(kindMember, fmt.Sprint("entry-", i))>>48))
	}
	sort.Slice(r.points, func(i, j int) bool { return r.points[i] < r.points[j] })
	for _, p := range r.points {
		var fingers [ringBits]uint32
		for k := range fingers {
			fingers[k] = r.successor(p + 1<<k)
		}
		r.fingers[p] = fingers
	}
	return r
}

// successor returns the first live member at or after a point.
func (r *ring) successor(point uint32) uint32 {
	point %= 1 << ringBits
	start := sort.Search(len(r.points), func(i int) bool { return r.points[i] >= point })
	for i := range r.points {
		p := r.points[(start+i)%len(r.points)]
		if !r.dead[p] {
			return p
		}
	}
	return point
}

// lookup returns the number of hops along fingers to the successor of a point.
// It counts the bytes of a message and an answer per hop.
func (r *ring) lookup(from, point uint32) int {
	heartbeat := proto.Size(&wire.PeerMessage{From: "entry-100", Incarnation: "i1", Member: &wire.MemberPart{Want: []uint64{1}}}) + frameOverheadBytes
	hops := 0
	target := r.successor(point)
	for at := from; at != target && hops < ringBits; hops++ {
		next := r.successor(at + 1)
		distance := (target - at) % (1 << ringBits)
		for _, f := range r.fingers[at] {
			step := (f - at) % (1 << ringBits)
			if !r.dead[f] && step <= distance && step > (next-at)%(1<<ringBits) {
				next = f
			}
		}
		r.sent[at] += heartbeat
		r.sent[next] += heartbeat
		at = next
	}
	return hops
}

// crash stops a member and runs rounds of one second until no finger of a live
// member refers to it. It returns the mean bytes per second and member, and the
// number of rounds.
func (r *ring) crash(index int) (bytes float64, rounds int) {
	r.dead[r.points[index]] = true
	for r.hasDeadFinger() {
		for i, p := range r.points {
			if r.dead[p] {
				continue
			}
			r.lookup(p, p+1) // Stabilization queries the successor.
			k := (rounds + i) % ringBits
			r.lookup(p, p+1<<k)
			fingers := r.fingers[p]
			fingers[k] = r.successor(p + 1<<k)
			r.fingers[p] = fingers
		}
		rounds++
	}
	total := 0
	for _, sent := range r.sent {
		total += sent
	}
	return float64(total) / float64(rounds) / float64(len(r.points)), rounds
}

func (r *ring) hasDeadFinger() bool {
	for p, fingers := range r.fingers {
		for _, f := range fingers {
			if !r.dead[p] && r.dead[f] {
				return true
			}
		}
	}
	return false
}

// lookupHops returns the mean number of hops per lookup.
func (r *ring) lookupHops() float64 {
	hops, lookups := 0, 0
	for _, p := range r.points {
		if !r.dead[p] {
			hops += r.lookup(p, p*2654435761)
			lookups++
		}
	}
	return float64(hops) / float64(lookups)
}
