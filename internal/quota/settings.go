package quota

import "time"

// Settings bound a limiter. All hosts must agree on BasePercent and GrantTTL.
type Settings struct {
	// BasePercent is the base part of every rate and burst.
	BasePercent int64
	// GrantTTL is how long the owner counts a grant as spendable without news.
	GrantTTL time.Duration
	// ExchangeTimeout bounds one exchange with an owner.
	ExchangeTimeout time.Duration
	// FlushEvery is how often a holder reports what it spent.
	FlushEvery time.Duration
	// IdleReturn is how long a balance is kept without use.
	IdleReturn time.Duration
	// MaxWorkspaces bounds the active workspaces of a holder and of an owned shard.
	MaxWorkspaces int
}

// DefaultSettings are the bounds for one entry host.
func DefaultSettings() Settings {
	return Settings{
		BasePercent:     50,
		GrantTTL:        5 * time.Second,
		ExchangeTimeout: 200 * time.Millisecond,
		FlushEvery:      time.Second,
		IdleReturn:      time.Second,
		MaxWorkspaces:   1 << 16,
	}
}

// holderTTL is how long the holder spends from a grant, counted from the
// sending of the request: a tenth less than the owner counts it, which allows
// for clocks of different speed.
func (s *Settings) holderTTL(ttl time.Duration) time.Duration { return ttl - ttl/10 }

// takeoverWait is how long a new owner waits before its buckets begin to fill:
// all grants of the owner before it have expired by then.
func (s *Settings) takeoverWait() time.Duration { return s.GrantTTL + s.GrantTTL/10 }
