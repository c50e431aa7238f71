package quota

import "time"

// Settings configures a limiter. All hosts must agree on BasePercent and
// GrantTTL.
type Settings struct {
	// BasePercent is the share of the base part in every rate and burst, in
	// percent.
	BasePercent int64
	// GrantTTL is how long the owner counts a grant as spendable without
	// updates from the holder.
	GrantTTL time.Duration
	// ExchangeTimeout bounds one exchange with an owner.
	ExchangeTimeout time.Duration
	// FlushInterval is the interval at which a holder reports spent tokens.
	FlushInterval time.Duration
	// IdleTimeout is how long an unused balance is retained before it is
	// returned.
	IdleTimeout time.Duration
	// MaxWorkspaces bounds the active workspaces of a holder and of an owned
	// shard.
	MaxWorkspaces int
}

// DefaultSettings returns the settings for one entry host.
func DefaultSettings() Settings {
	return Settings{
		BasePercent:     50,
		GrantTTL:        5 * time.Second,
		ExchangeTimeout: 200 * time.Millisecond,
		FlushInterval:   time.Second,
		IdleTimeout:     time.Second,
		MaxWorkspaces:   1 << 16,
	}
}

// holderTTL is how long the holder spends from a grant, counted from when the
// request was sent. It is a tenth shorter than the owner's TTL to allow for
// clocks that run at different speeds.
func (s *Settings) holderTTL(ttl time.Duration) time.Duration { return ttl - ttl/10 }

// takeoverDelay is how long a new owner waits before its buckets start to fill.
// All grants of the previous owner have expired by then.
func (s *Settings) takeoverDelay() time.Duration { return s.GrantTTL + s.GrantTTL/10 }
