package catalog

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/lease"
)

type fakeClock struct{ monotonic, boot time.Duration }

func (c *fakeClock) Now() lease.Instant {
	return lease.Instant{Monotonic: time.Unix(0, int64(c.monotonic)), Boot: c.boot}
}

func (c *fakeClock) advance(d time.Duration) {
	c.monotonic += d
	c.boot += d
}

func newCatalog(n int64) *Catalog { return New(n, Limits{}, nil, nil, nil, nil) }

func TestUpdateRejectsOlderRevision(t *testing.T) {
	is := is.New(t)
	cache := NewCache(&fakeClock{}, time.Second)
	is.True(cache.Update(5, newCatalog(3)))
	is.True(!cache.Update(4, newCatalog(9))) // a read sent earlier, or a lagging source
	is.True(!cache.Update(5, newCatalog(3)))
	is.Equal(cache.Current().Version, int64(3))
}

func TestFreshCountsFromSendTimeOfRead(t *testing.T) {
	is := is.New(t)
	clock := &fakeClock{}
	cache := NewCache(clock, 4*time.Second)
	is.True(!cache.Fresh())
	cache.Update(5, newCatalog(3))
	is.True(!cache.Fresh()) // an update of the watch is no confirmation
	sent := clock.Now()
	clock.advance(time.Second) // duration of the read
	cache.Confirm(5, sent)
	is.True(cache.Fresh())
	clock.advance(3 * time.Second)
	is.True(!cache.Fresh())
}

// The monotonic clock excludes the time that the host is suspended; the boot
// clock includes it.
func TestFreshCountsHostSuspension(t *testing.T) {
	is := is.New(t)
	clock := &fakeClock{}
	cache := NewCache(clock, 4*time.Second)
	cache.Update(5, newCatalog(3))
	cache.Confirm(5, clock.Now())
	clock.boot += 10 * time.Second
	is.True(!cache.Fresh())
}

func TestConfirmIgnoresOtherRevisionsAndLateReads(t *testing.T) {
	is := is.New(t)
	clock := &fakeClock{}
	cache := NewCache(clock, 4*time.Second)
	cache.Update(5, newCatalog(3))
	cache.Update(6, newCatalog(4))
	cache.Confirm(5, clock.Now())
	is.True(!cache.Fresh())
	cache.Confirm(6, clock.Now())
	clock.advance(time.Second)
	cache.Confirm(6, lease.Instant{Monotonic: time.Unix(0, 0)}) // response of a slow read
	age, ok := cache.Age()
	is.True(ok)
	is.Equal(age, time.Second)
}

func inEra(t *testing.T, era, number int64) backing.Revision {
	t.Helper()
	r, err := backing.NewRevision(era, number)
	is.New(t).NoErr(err)
	return r
}

// Guards against an older version of a store that was restored from a copy, and against one
// that is confirmed for want of the newer.
func TestOlderVersionOfLaterEraIsNotTaken(t *testing.T) {
	is := is.New(t)
	clock := &fakeClock{}
	cache := NewCache(clock, 4*time.Second)
	is.True(cache.Update(inEra(t, 1, 90), newCatalog(13)))
	cache.Confirm(inEra(t, 1, 90), clock.Now())
	clock.advance(time.Second)
	is.True(!cache.Update(inEra(t, 2, 58), newCatalog(11)))
	cache.Confirm(inEra(t, 2, 58), clock.Now())
	is.Equal(cache.Current().Version, int64(13))
	is.True(cache.Behind())
	age, _ := cache.Age()
	is.Equal(age, time.Second) // not confirmed
	is.True(cache.Update(inEra(t, 2, 60), newCatalog(13)))
	cache.Confirm(inEra(t, 2, 60), clock.Now())
	age, _ = cache.Age()
	is.Equal(age, time.Duration(0))
	is.True(!cache.Behind())
	is.True(cache.Update(inEra(t, 2, 61), newCatalog(12))) // the operator's own, within the era
}

// Guards against a host that starts from a copy and serves what other hosts know to be old.
func TestVersionOlderThanKnownElsewhereIsWithdrawn(t *testing.T) {
	is := is.New(t)
	clock := &fakeClock{}
	cache := NewCache(clock, 4*time.Second)
	is.True(!cache.Require(13, inEra(t, 1, 90))) // nothing is read yet
	is.True(cache.Update(inEra(t, 2, 58), newCatalog(11)))
	cache.Confirm(inEra(t, 2, 58), clock.Now())
	is.True(!cache.Require(12, inEra(t, 2, 59))) // a newer one, which will be read
	is.True(!cache.Require(12, inEra(t, 2, 50))) // one that the operator took back
	is.True(!cache.Require(12, 0))               // of a host that does not tell
	is.True(cache.Fresh())
	is.True(cache.Require(13, inEra(t, 1, 90)))
	is.True(cache.Current() == nil)
	is.True(!cache.Fresh())
	is.True(!cache.Update(inEra(t, 2, 59), newCatalog(12)))
	cache.Confirm(inEra(t, 2, 59), clock.Now())
	is.True(!cache.Fresh())
	is.True(cache.Update(inEra(t, 2, 60), newCatalog(13)))
	cache.Confirm(inEra(t, 2, 60), clock.Now())
	is.True(cache.Fresh())
	is.True(!cache.Require(13, inEra(t, 1, 90)))
}
