package updatelog

import (
	"testing"

	"github.com/matryer/is"
)

func TestRelayHandsOnEachUpdateOnce(t *testing.T) {
	is := is.New(t)
	r := NewRelay[string](8)
	r.Append("own")
	is.Equal(r.Receive("member", 0, 2, []string{"a", "b"}, true), []string{"a", "b"})
	is.Equal(r.Receive("member", 1, 3, []string{"b", "c"}, true), []string{"c"}) // b came twice
	is.Equal(r.Receive("delegate", 5, 6, []string{"d"}, false), []string{"d"})
	is.Equal(len(r.Receive("member", 0, 1, []string{"a"}, true)), 0) // late
	own, _, next := r.OwnSince(0)
	is.Equal(own, []string{"own", "a", "b", "c"})
	is.Equal(next, int64(4))
	all, _, _ := r.AllSince(0)
	is.Equal(all, []string{"own", "a", "b", "c", "d"})
}
