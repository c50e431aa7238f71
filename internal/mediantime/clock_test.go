package mediantime

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/lease"
)

// manualClock is a monotonic clock that tests advance.
type manualClock struct{ now time.Duration }

func (m *manualClock) Now() lease.Instant {
	return lease.Instant{Monotonic: time.Unix(0, int64(m.now)), Boot: m.now}
}

func TestClockIgnoresJumpsOfOwnWallClock(t *testing.T) {
	is := is.New(t)
	monotonic := &manualClock{}
	wall := time.Unix(1000, 0)
	c := New(monotonic, func() time.Time { return wall })
	wall = wall.Add(-3 * time.Second) // the wall clock jumps
	monotonic.now += 2 * time.Second
	is.True(c.Now().Equal(time.Unix(1002, 0)))
}

// A host whose wall clock is wrong at the start uses the median of its own and
// its peers' readings.
func TestPeersOverrideWrongWallClock(t *testing.T) {
	is := is.New(t)
	monotonic := &manualClock{}
	c := New(monotonic, func() time.Time { return time.Unix(1003, 0) })
	c.RecordPeer("a", time.Unix(1000, 0))
	is.True(c.Now().Equal(time.Unix(1003, 0))) // two readings give no majority
	c.RecordPeer("b", time.Unix(1000, int64(20*time.Millisecond)))
	is.True(c.Now().Equal(time.Unix(1000, int64(20*time.Millisecond))))
	monotonic.now += 11 * time.Second
	is.True(c.Now().Equal(time.Unix(1014, 0))) // the readings of the peers have expired
}
