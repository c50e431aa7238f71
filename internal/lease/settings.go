package lease

import "time"

// Settings bound a host's lease.
type Settings struct {
	// TTL is how long the store keeps the lease without a renewal.
	TTL time.Duration
	// Renew is the time between renewals.
	Renew time.Duration
	// Margin is how long before its end the lease is no longer used.
	Margin time.Duration
	// OrderDeadline bounds one step of work under a piece. A piece that
	// another host should hold is released that long after this host has
	// stopped using it.
	OrderDeadline time.Duration
	// CallTimeout bounds one call of the store.
	CallTimeout time.Duration
}

// DefaultSettings let another host take over within 15 s of a holder's death:
// 8 s until the store drops the lease, up to 5 s until the dead host is taken
// for gone, in parallel, and a try each second.
func DefaultSettings() Settings {
	return Settings{
		TTL:           8 * time.Second,
		Renew:         2 * time.Second,
		Margin:        time.Second,
		OrderDeadline: 3 * time.Second,
		CallTimeout:   time.Second,
	}
}
