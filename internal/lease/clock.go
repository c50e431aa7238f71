package lease

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is one moment on two clocks of a host. Both count while a process is
// stopped; only Boot counts while the machine is suspended.
type Instant struct {
	Monotonic time.Time
	Boot      time.Duration
}

// Since returns the time from an earlier instant, by the clock that counted more.
func (i Instant) Since(earlier Instant) time.Duration {
	return max(i.Monotonic.Sub(earlier.Monotonic), i.Boot-earlier.Boot)
}

// Add returns the instant that much later, or earlier for a negative duration.
func (i Instant) Add(d time.Duration) Instant {
	return Instant{Monotonic: i.Monotonic.Add(d), Boot: i.Boot + d}
}

// Clock reads the time of a host.
type Clock interface {
	Now() Instant
}

// SystemClock reads the clocks of the operating system.
type SystemClock struct{}

// Now implements Clock.
func (SystemClock) Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return Instant{Monotonic: time.Now()}
	}
	return Instant{Monotonic: time.Now(), Boot: time.Duration(ts.Nano())}
}
