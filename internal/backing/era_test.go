package backing_test

import (
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/acacialink/acacialink/internal/backing"
)

// Guards against a revision of a later era that counts as older.
func TestRevisionsAreOrderedByEra(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		era, number := rapid.Int64Range(0, 8190).Draw(t, "era"), rapid.Int64Range(1, 1<<40-1).Draw(t, "number")
		r, err := backing.NewRevision(era, number)
		if err != nil || r.Era() != era || r.Number() != number {
			t.Fatalf("%d of era %d is %d of era %d: %v", number, era, r.Number(), r.Era(), err)
		}
		later, err := backing.NewRevision(era+1, rapid.Int64Range(1, 1<<40-1).Draw(t, "later"))
		if err != nil || later <= r {
			t.Fatalf("%d is not after %d: %v", later, r, err)
		}
		if int64(float64(later)) != int64(later) {
			t.Fatalf("%d is not exact", later)
		}
	})
}

func TestNumbersOutOfRangeAreRefused(t *testing.T) {
	is := is.New(t)
	for _, c := range [][2]int64{{-1, 1}, {1 << 13, 1}, {1, -1}, {1, 1 << 40}} {
		_, err := backing.NewRevision(c[0], c[1])
		is.True(errors.Is(err, backing.ErrOutOfRange))
	}
	none, err := backing.NewRevision(7, 0) // an absent key
	is.NoErr(err)
	is.Equal(none, backing.Revision(0))
}
