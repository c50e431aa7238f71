package catalog

import (
	"testing"
	"time"

	"github.com/matryer/is"

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

func TestOfferRejectsOlderRevision(t *testing.T) {
	is := is.New(t)
	h := NewHolder(&fakeClock{}, time.Second)
	is.True(h.Offer(5, newCatalog(3)))
	is.True(!h.Offer(4, newCatalog(9))) // a read sent earlier, or a lagging source
	is.True(!h.Offer(5, newCatalog(3)))
	is.Equal(h.Current().Version, int64(3))
}

func TestFreshCountsFromSendTimeOfRead(t *testing.T) {
	is := is.New(t)
	clock := &fakeClock{}
	h := NewHolder(clock, 4*time.Second)
	is.True(!h.Fresh())
	h.Offer(5, newCatalog(3))
	is.True(!h.Fresh()) // an update of the watch is no confirmation
	sent := clock.Now()
	clock.advance(time.Second) // duration of the read
	h.Confirm(5, sent)
	is.True(h.Fresh())
	clock.advance(3 * time.Second)
	is.True(!h.Fresh())
}

// The monotonic clock excludes the time that the host is suspended; the boot
// clock includes it.
func TestFreshCountsHostSuspension(t *testing.T) {
	is := is.New(t)
	clock := &fakeClock{}
	h := NewHolder(clock, 4*time.Second)
	h.Offer(5, newCatalog(3))
	h.Confirm(5, clock.Now())
	clock.boot += 10 * time.Second
	is.True(!h.Fresh())
}

func TestConfirmIgnoresOtherRevisionsAndLateReads(t *testing.T) {
	is := is.New(t)
	clock := &fakeClock{}
	h := NewHolder(clock, 4*time.Second)
	h.Offer(5, newCatalog(3))
	h.Offer(6, newCatalog(4))
	h.Confirm(5, clock.Now())
	is.True(!h.Fresh())
	h.Confirm(6, clock.Now())
	clock.advance(time.Second)
	h.Confirm(6, lease.Instant{Monotonic: time.Unix(0, 0)}) // response of a slow read
	age, ok := h.Age()
	is.True(ok)
	is.Equal(age, time.Second)
}
