package lease

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a point in time read from two clocks of a host. Both clocks advance
// while the process is stopped; only Boot advances while the machine is suspended.
type Instant struct {
	// Monotonic is a time with a monotonic clock reading.
	Monotonic time.Time
	// Boot is the time since the machine booted.
	Boot time.Duration
}

// Since returns the time elapsed since an earlier instant, by the clock that
// advanced more.
func (i Instant) Since(earlier Instant) time.Duration {
	return max(i.Monotonic.Sub(earlier.Monotonic), i.Boot-earlier.Boot)
}

// Add returns the instant i+d.
func (i Instant) Add(d time.Duration) Instant {
	return Instant{Monotonic: i.Monotonic.Add(d), Boot: i.Boot + d}
}

// Clock reads the clocks of a host.
type Clock interface {
	Now() Instant
}

// SystemClock is the Clock of the operating system.
type SystemClock struct{}

// Now implements Clock.
func (SystemClock) Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return Instant{Monotonic: time.Now()}
	}
	return Instant{Monotonic: time.Now(), Boot: time.Duration(ts.Nano())}
}
