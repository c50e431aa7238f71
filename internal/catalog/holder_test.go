package catalog

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/lease"
)

type hands struct{ monotonic, boot time.Duration }

func (h *hands) Now() lease.Instant {
	return lease.Instant{Monotonic: time.Unix(0, int64(h.monotonic)), Boot: h.boot}
}

func (h *hands) pass(d time.Duration) {
	h.monotonic += d
	h.boot += d
}

func version(n int64) *Catalog { return New(n, Limits{}, nil, nil, nil, nil) }

func TestAnOlderRevisionIsNeverTaken(t *testing.T) {
	is := is.New(t)
	h := NewHolder(&hands{}, time.Second)
	is.True(h.Offer(5, version(3)))
	is.True(!h.Offer(4, version(9))) // a read that was sent earlier, or a lagging source
	is.True(!h.Offer(5, version(3)))
	is.Equal(h.Current().Version, int64(3))
}

func TestAConfirmationCountsFromBeforeItsRead(t *testing.T) {
	is := is.New(t)
	clock := &hands{}
	h := NewHolder(clock, 4*time.Second)
	is.True(!h.Fresh())
	h.Offer(5, version(3))
	is.True(!h.Fresh()) // a watch proves nothing
	sent := clock.Now()
	clock.pass(time.Second) // the read takes that long
	h.Confirm(5, sent)
	is.True(h.Fresh())
	clock.pass(3 * time.Second)
	is.True(!h.Fresh())
}

// The steady clock does not count a suspension; the boot clock does.
func TestASuspendedHostIsNotFresh(t *testing.T) {
	is := is.New(t)
	clock := &hands{}
	h := NewHolder(clock, 4*time.Second)
	h.Offer(5, version(3))
	h.Confirm(5, clock.Now())
	clock.boot += 10 * time.Second
	is.True(!h.Fresh())
}

func TestAnOlderRevisionConfirmsNothing(t *testing.T) {
	is := is.New(t)
	clock := &hands{}
	h := NewHolder(clock, 4*time.Second)
	h.Offer(5, version(3))
	h.Offer(6, version(4))
	h.Confirm(5, clock.Now())
	is.True(!h.Fresh())
	h.Confirm(6, clock.Now())
	clock.pass(time.Second)
	h.Confirm(6, lease.Instant{Monotonic: time.Unix(0, 0)}) // a slow read's answer comes late
	age, ok := h.Age()
	is.True(ok)
	is.Equal(age, time.Second)
}
