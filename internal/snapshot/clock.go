package snapshot

import (
	"time"

	"golang.org/x/sys/unix"
)

// instant is one moment on both clocks of the host. An age is the larger of the
// two differences, since the monotonic clock stops while the host is suspended
// and the boot clock does not.
type instant struct {
	at   time.Time
	boot time.Duration
}

// Clock reads the clocks of the host. Tests in virtual time set Boot so that
// both clocks advance at the same rate.
type Clock struct {
	// Now returns the wall clock time with a monotonic reading; nil means
	// time.Now.
	Now func() time.Time
	// Boot returns the time since the host booted, including time suspended;
	// nil means the system's boot clock.
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

// age returns the time elapsed from i to later.
func (i instant) age(later instant) time.Duration {
	return max(later.at.Sub(i.at), later.boot-i.boot)
}

// minus returns the instant d before i.
func (i instant) minus(d time.Duration) instant {
	return instant{at: i.at.Add(-d), boot: i.boot - d}
}
