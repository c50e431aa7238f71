package endpoint

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Views that applied the same updates have the same sum, in any order and with
// duplicates.
func TestRegistryViewSumIsIndependentOfUpdateOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type change struct {
			key      string
			revision int64
			removed  bool
		}
		var changes []change
		for i := range rapid.IntRange(1, 30).Draw(t, "changes") {
			changes = append(changes, change{fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "key")), int64(i + 1), rapid.Bool().Draw(t, "gone")})
		}
		apply := func(v *RegistryView, list []change) {
			for _, c := range list {
				if c.removed {
					v.Remove(start, c.key, c.revision)
				} else {
					v.Put(start, c.key, c.revision)
				}
			}
		}
		a, b := NewRegistryView(), NewRegistryView()
		apply(a, changes)
		apply(b, rapid.Permutation(changes).Draw(t, "order"))
		apply(b, changes)
		if a.Sum() != b.Sum() {
			t.Fatalf("sums differ")
		}
		b.Put(start, "another", 100)
		if a.Sum() == b.Sum() {
			t.Fatalf("sums of different views are equal")
		}
	})
}

func TestRegistryViewMissingReportsUnlistedKeys(t *testing.T) {
	is := is.New(t)
	v := NewRegistryView()
	empty := v.Sum()
	is.True(v.Put(start, "a", 3))
	is.True(!v.Put(start, "a", 3)) // no change
	is.True(v.Put(start, "b", 9))
	is.Equal(v.Missing(map[string]bool{}, 5), []string{"a"}) // b is newer than the listing
	is.True(v.Remove(start, "a", 5))
	is.True(!v.Put(start, "a", 4))
	is.True(v.Remove(start, "b", 10))
	is.Equal(v.Sum(), empty)
	// Deleted entries are retained for tombstoneTTL so that late updates of
	// them are ignored.
	later := start.Add(tombstoneTTL + time.Second)
	v.Remove(later, "c", 11)
	is.Equal(len(v.entries), 1)
}
