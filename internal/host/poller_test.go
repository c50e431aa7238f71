package host

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// pollerReads runs a poller of a source that a delegate confirms or not, and returns the
// number of its reads in a time.
func pollerReads(t *testing.T, watchersBefore int, age func() (time.Duration, bool), read func() error, trigger, run time.Duration) int {
	reads := 0
	p := newPoller("source", 4*time.Second, age, func(context.Context) error {
		reads++
		return read()
	}, func() {})
	ctx, cancel := context.WithTimeout(t.Context(), run)
	defer cancel()
	if trigger > 0 {
		go func() {
			for ctx.Err() == nil {
				time.Sleep(trigger)
				p.Trigger()
			}
		}()
	}
	p.run(ctx, func() int { return watchersBefore }, slog.New(slog.DiscardHandler))
	return reads
}

var errDown = errors.New("down")

// Versions in quick succession are read together, well within the bound.
func TestTriggeredReadsAreSpaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fresh := func() (time.Duration, bool) { return 0, true }
		reads := pollerReads(t, 1, fresh, func() error { return nil }, 50*time.Millisecond, 6*time.Second)
		is.True(reads >= 6 && reads <= 11) // one each 0.6 to 0.7 s
	})
}

// A member whose delegate confirms a source does not read it, also after its own reads
// failed, and it retries a failed read more slowly than others.
func TestMemberReadsLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		confirmed := func() (time.Duration, bool) { return 200 * time.Millisecond, true }
		stale := func() (time.Duration, bool) { return time.Minute, true }
		failing := func() error { return errDown }
		is.Equal(pollerReads(t, memberWatchers, confirmed, failing, 0, 10*time.Second), 0)
		member := pollerReads(t, memberWatchers, stale, failing, 0, 9500*time.Millisecond)
		is.Equal(member, 10)
		is.True(pollerReads(t, storeWatchers, stale, failing, 0, 9500*time.Millisecond) > 2*member)
	})
}
