package pace_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/pace"
)

func TestPauseEndsWithItsIncarnationAndNoEarlierThanStated(t *testing.T) {
	now := time.Now()
	pause := func(startedAtMS int64, length time.Duration) pace.Pause {
		return pace.Pause{StartedAtMS: startedAtMS, Until: now.Add(length)}
	}
	for _, c := range []struct {
		name        string
		first, next pace.Pause
		startedAtMS int64
		left        time.Duration
	}{
		{"none", pace.Pause{}, pace.Pause{}, 7, 0},
		{"one", pace.Pause{}, pause(7, time.Second), 7, time.Second},
		{"longer", pause(7, time.Second), pause(7, 2*time.Second), 7, 2 * time.Second},
		{"shorter", pause(7, 2*time.Second), pause(7, time.Second), 7, 2 * time.Second},
		{"of a later incarnation", pause(7, 2*time.Second), pause(8, time.Second), 8, time.Second},
		{"of an earlier incarnation", pause(8, time.Second), pause(7, 2*time.Second), 8, time.Second},
		{"started anew", pause(7, 2*time.Second), pause(7, time.Second), 8, 0},
		{"over", pause(7, -time.Second), pause(7, -2*time.Second), 7, -time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(c.first.Merge(c.next).Left(now, c.startedAtMS), c.left)
		})
	}
}
