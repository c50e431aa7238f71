package engine

import (
	"time"

	"github.com/acacialink/acacialink/internal/backing"
)

const (
	defaultStep            = 20 * time.Millisecond
	defaultPrefillRate     = 12_000
	defaultPerSequence     = 300 * time.Microsecond
	defaultTotalPieces     = 600
	defaultMaxRunning      = 64
	defaultMaxWaiting      = 1_024
	defaultLoadLag         = 500 * time.Millisecond
	defaultCacheEventLag   = time.Second
	defaultRoleChange      = 5 * time.Second
	defaultModelLoad       = 2 * time.Second
	defaultAdapterLoad     = 500 * time.Millisecond
	defaultOutputTokens    = 64
	defaultKVBytesPerToken = 16
)

// Options configure an Engine. Zero fields take the defaults in brackets.
type Options struct {
	Name string
	// Role is the role at the start (mixed).
	Role backing.Role
	// Models and Adapters ("model/adapter") are loaded at the start.
	Models   []string
	Adapters []string
	// ChecksFencing makes the engine refuse an order whose fencing number is
	// lower than one it has seen. It forgets what it has seen in a crash.
	ChecksFencing bool
	// Step is the least time of one step of the batch (20 ms).
	Step time.Duration
	// PrefillRate is in prompt tokens a second (12,000).
	PrefillRate float64
	// PerSequence is what each decoding sequence adds to a step (300 µs).
	PerSequence time.Duration
	// TotalPieces is the memory in pieces of backing.KVBlockTokens (600).
	TotalPieces int
	// MaxRunning and MaxWaiting bound the batch (64) and the queue (1,024).
	MaxRunning int
	MaxWaiting int
	// LoadLag is the age of the load report (500 ms).
	LoadLag time.Duration
	// CacheEventLag delays cache events (1 s); CacheEventLoss is the share of
	// them that is never reported, while their sequence numbers are used up.
	CacheEventLag  time.Duration
	CacheEventLoss float64
	// RoleChange is how long the engine serves nothing in a role change (5 s),
	// after all accepted generations have ended.
	RoleChange time.Duration
	// LoadTime is how long a load takes (2 s for a model, 500 ms for an adapter).
	LoadTime func(model, adapter string) time.Duration
	// EarlyStops makes half of the answers stop before MaxTokens.
	EarlyStops bool
	// KVBytesPerToken is the size of an exported KV cache (16).
	KVBytesPerToken int
	// Seed fixes which cache events are lost.
	Seed uint64
}

func (o Options) withDefaults() Options {
	o.Role = orDefault(o.Role, backing.RoleMixed)
	o.Step = orDefault(o.Step, defaultStep)
	o.PrefillRate = orDefault(o.PrefillRate, defaultPrefillRate)
	o.PerSequence = orDefault(o.PerSequence, defaultPerSequence)
	o.TotalPieces = orDefault(o.TotalPieces, defaultTotalPieces)
	o.MaxRunning = orDefault(o.MaxRunning, defaultMaxRunning)
	o.MaxWaiting = orDefault(o.MaxWaiting, defaultMaxWaiting)
	o.LoadLag = orDefault(o.LoadLag, defaultLoadLag)
	o.CacheEventLag = orDefault(o.CacheEventLag, defaultCacheEventLag)
	o.RoleChange = orDefault(o.RoleChange, defaultRoleChange)
	o.KVBytesPerToken = orDefault(o.KVBytesPerToken, defaultKVBytesPerToken)
	if o.LoadTime == nil {
		o.LoadTime = defaultLoadTime
	}
	return o
}

func defaultLoadTime(_, adapter string) time.Duration {
	if adapter != "" {
		return defaultAdapterLoad
	}
	return defaultModelLoad
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
