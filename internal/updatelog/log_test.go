package updatelog

import (
	"math"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// A reader that follows the log gets each update once and in order, but for those that
// were dropped before it read.
func TestReaderGetsUpdatesInOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limit := rapid.IntRange(2, 20).Draw(rt, "limit")
		log := New[int](limit)
		appended, position, last := 0, int64(0), -1
		for range rapid.IntRange(1, 50).Draw(rt, "steps") {
			added := rapid.IntRange(0, 30).Draw(rt, "added")
			for range added {
				log.Append(appended)
				appended++
			}
			updates, first, next := log.Since(position)
			if next != int64(appended) || first+int64(len(updates)) != next || first < position {
				rt.Fatalf("updates from %d to %d after %d of %d", first, next, position, appended)
			}
			if added < limit/2 && first != position {
				rt.Fatalf("updates from %d were dropped early", position)
			}
			for i, update := range updates {
				if update != int(first)+i || update <= last {
					rt.Fatalf("update %d has number %d", update, int(first)+i)
				}
				last = update
			}
			position = next
		}
	})
}

func TestUnknownPositionGetsNothing(t *testing.T) {
	is := is.New(t)
	log := New[string](4)
	log.Append("a")
	updates, first, next := log.Since(math.MaxInt64)
	is.Equal(len(updates), 0)
	is.Equal(first, int64(1))
	is.Equal(next, int64(1))
}
