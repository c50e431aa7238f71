package endpoint

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/backing"
	"pgregory.net/rapid"
)

// Views that applied the same updates have the same sum, in any order and with
// duplicates.
func TestRegistryViewSumIsIndependentOfUpdateOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type change struct {
			key      string
			revision backing.Revision
			removed  bool
		}
		var changes []change
		for i := range rapid.IntRange(1, 30).Draw(t, "changes") {
			changes = append(changes, change{fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "key")), backing.Revision(i + 1), rapid.Bool().Draw(t, "gone")})
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

func TestRegistryViewIgnoresRemovalThatIsNotNewer(t *testing.T) {
	is := is.New(t)
	v := NewRegistryView()
	v.Put(start, "a", 3)
	is.True(!v.Remove(start, "a", 3))
	is.True(!v.Remove(start, "b", 3)) // never present
	is.Equal(v.Missing(nil, 2), nil)
	is.Equal(v.Missing(nil, 3), []string{"a"})
	is.Equal(v.Missing(map[string]bool{"a": true}, 3), nil)
}

func TestRegistryViewRemembersRemovalForTombstoneTTL(t *testing.T) {
	for age, known := range map[time.Duration]bool{tombstoneTTL: true, tombstoneTTL + 1: false} {
		is := is.New(t)
		v := NewRegistryView()
		v.Put(start, "kept", 1)
		v.Put(start, "a", 3)
		v.Remove(start, "a", 5)
		v.Remove(start.Add(age), "b", 6)
		is.Equal(v.Put(start.Add(age), "a", 4), !known)
		is.Equal(v.Missing(map[string]bool{"a": true}, 9), []string{"kept"})
	}
}
