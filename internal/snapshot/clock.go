package snapshot

import (
	"time"

	"golang.org/x/sys/unix"
)

// instant is one moment on both clocks of the host. The monotonic clock stands
// still while the host is suspended and the boot clock does not; an age is the
// larger of the two.
type instant struct {
	at   time.Time
	boot time.Duration
}

// Clock reads the time of the host. A test in virtual time sets Boot, so that
// both clocks run at one rate.
type Clock struct {
	// Now is the wall clock with its monotonic reading; nil means time.Now.
	Now func() time.Time
	// Boot is the time since the host started, suspension included; nil means
	// the system's boot clock.
	Boot func() time.Duration
}

func (c Clock) now() instant {
	now, boot := time.Now, bootClock
	if c.Now != nil {
		now = c.Now
	}
	if c.Boot != nil {
		boot = c.Boot
	}
	return instant{at: now(), boot: boot()}
}

func bootClock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}

// age returns how long ago the instant was, seen from a later one.
func (i instant) age(later instant) time.Duration {
	return max(later.at.Sub(i.at), later.boot-i.boot)
}

// minus returns the instant d earlier.
func (i instant) minus(d time.Duration) instant {
	return instant{at: i.at.Add(-d), boot: i.boot - d}
}
