package member

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// TestMergeIsOrderIndependent sends the same records to two tables, to one of
// them in another order and some of them twice. Both must converge to the same
// records for any versions, states and incarnations.
func TestMergeIsOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 30).Draw(t, "count")
		var parts []*wire.MemberPart
		for i := range count {
			parts = append(parts, drawRecord(t, i))
		}
		order := rapid.Permutation(indexes(count)).Draw(t, "order")
		inOrder, permuted := newCluster(1, 1, 4, 1), newCluster(1, 1, 4, 1)
		for _, p := range parts {
			inOrder.nodes[0].table.HandleExchange("entry-9", p, inOrder.now)
		}
		for _, i := range order {
			permuted.nodes[0].table.HandleExchange("entry-9", parts[i], permuted.now)
			if i%3 == 0 {
				permuted.nodes[0].table.HandleExchange("entry-9", parts[i], permuted.now)
			}
		}
		first, second := inOrder.nodes[0].table, permuted.nodes[0].table
		for id, r := range first.records {
			other := second.records[id]
			if r.kind != kindEndpoint {
				continue
			}
			if other == nil || other.version != r.version || other.state != r.state {
				t.Fatalf("%s: version %d state %v in the first table, %+v in the second", r.name, r.version, r.state, other)
			}
			if !r.state.suspectOrGone() && other.incarnation != r.incarnation {
				t.Fatalf("%s: incarnation %s in the first table, %s in the second", r.name, r.incarnation, other.incarnation)
			}
		}
		if first.checksums != recomputeChecksums(first) || second.checksums != recomputeChecksums(second) {
			t.Fatal("checksums do not match the records")
		}
	})
}

// drawRecord draws a message with a record of one of three endpoints.
func drawRecord(t *rapid.T, i int) *wire.MemberPart {
	label := fmt.Sprint("record ", i)
	return &wire.MemberPart{Endpoints: []*wire.EndpointState{{
		Name:        fmt.Sprint("engine-", rapid.IntRange(0, 2).Draw(t, label+" endpoint")),
		Version:     uint64(rapid.IntRange(1, 4).Draw(t, label+" version")),
		State:       uint32(rapid.IntRange(0, 3).Draw(t, label+" state")),
		Incarnation: rapid.SampledFrom([]string{"a", "b"}).Draw(t, label+" incarnation"),
	}}}
}

func indexes(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

// TestNextVersionExceedsSeenVersion checks that a new version is greater than
// the version seen, also if the author's clock is behind.
func TestNextVersionExceedsSeenVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.UnixMilli(rapid.Int64Range(1, 1<<41).Draw(t, "now"))
		seen := rapid.Uint64Range(0, 1<<60).Draw(t, "seen")
		if v := nextVersion(seen, "entry-1", now); v <= seen {
			t.Fatalf("version %d is not greater than seen version %d", v, seen)
		}
	})
}
