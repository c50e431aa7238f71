package truetime

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/lease"
)

// hands is a steady clock that tests move.
type hands struct{ now time.Duration }

func (h *hands) Now() lease.Instant {
	return lease.Instant{Monotonic: time.Unix(0, int64(h.now)), Boot: h.now}
}

func TestOwnJumpsDoNotCount(t *testing.T) {
	is := is.New(t)
	steady := &hands{}
	wall := time.Unix(1000, 0)
	c := New(steady, func() time.Time { return wall })
	wall = wall.Add(-3 * time.Second) // the time of day jumps
	steady.now += 2 * time.Second
	is.True(c.Now().Equal(time.Unix(1002, 0)))
}

// A host that starts while its clock is wrong is outvoted by its peers.
func TestPeersOutvoteAWrongClock(t *testing.T) {
	is := is.New(t)
	steady := &hands{}
	c := New(steady, func() time.Time { return time.Unix(1003, 0) })
	c.Peer("a", time.Unix(1000, 0))
	is.True(c.Now().Equal(time.Unix(1003, 0))) // one against one proves nothing
	c.Peer("b", time.Unix(1000, int64(20*time.Millisecond)))
	is.True(c.Now().Equal(time.Unix(1000, int64(20*time.Millisecond))))
	steady.now += 11 * time.Second
	is.True(c.Now().Equal(time.Unix(1014, 0))) // peers that fell silent do not count
}
