package lease

import "time"

// Settings holds the times of a host's lease.
type Settings struct {
	// TTL is the time after which the store expires a lease that is not renewed.
	TTL time.Duration
	// RenewInterval is the time between renewals.
	RenewInterval time.Duration
	// Margin is the time before expiry from which the lease is no longer used.
	Margin time.Duration
	// WorkDeadline bounds one unit of work under a shard. A shard that another
	// host should hold is released this long after this host stops using it.
	WorkDeadline time.Duration
	// CallTimeout bounds one call to the store.
	CallTimeout time.Duration
}

// DefaultSettings returns settings with which another host takes over within 15 s
// after a holder crashes: the store expires the lease after 8 s, in parallel the
// crashed host is declared lost within 5 s, and other hosts try to acquire the
// shard every second.
func DefaultSettings() Settings {
	return Settings{
		TTL:           8 * time.Second,
		RenewInterval: 2 * time.Second,
		Margin:        time.Second,
		WorkDeadline:  3 * time.Second,
		CallTimeout:   time.Second,
	}
}
