package member

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// TestOrderOfRecordsDoesNotMatter sends the same records to two tables, to one
// of them in another order and some twice. Both must end up alike, whatever
// versions, states and incarnations the records have.
func TestOrderOfRecordsDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 30).Draw(t, "count")
		var parts []*wire.MemberPart
		for i := range count {
			parts = append(parts, drawRecord(t, i))
		}
		order := rapid.Permutation(indexes(count)).Draw(t, "order")
		a, b := newCluster(1, 1, 4, 1), newCluster(1, 1, 4, 1)
		for _, p := range parts {
			a.nodes[0].table.HandleExchange("entry-9", p, a.now)
		}
		for _, i := range order {
			b.nodes[0].table.HandleExchange("entry-9", parts[i], b.now)
			if i%3 == 0 {
				b.nodes[0].table.HandleExchange("entry-9", parts[i], b.now)
			}
		}
		left, right := a.nodes[0].table, b.nodes[0].table
		for id, r := range left.records {
			other := right.records[id]
			if r.kind != kindEndpoint {
				continue
			}
			if other == nil || other.version != r.version || other.state != r.state {
				t.Fatalf("%s: %d %v in one table, %+v in the other", r.name, r.version, r.state, other)
			}
			if !r.state.silent() && other.incarnation != r.incarnation {
				t.Fatalf("%s: incarnation %s and %s", r.name, r.incarnation, other.incarnation)
			}
		}
		if left.sums != checksum(left) || right.sums != checksum(right) {
			t.Fatal("checksums do not fit the records")
		}
	})
}

// drawRecord draws a record of one of three endpoints.
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

// TestVersionsOutgrowClocks lets an author with a clock an hour behind answer a
// record from the future.
func TestVersionsOutgrowClocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.UnixMilli(rapid.Int64Range(1, 1<<41).Draw(t, "now"))
		seen := rapid.Uint64Range(0, 1<<60).Draw(t, "seen")
		if v := nextVersion(seen, "entry-1", now); v <= seen {
			t.Fatalf("version %d after %d", v, seen)
		}
	})
}
