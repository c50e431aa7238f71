package engine

import (
	"time"

	"github.com/acacialink/acacialink/internal/backing"
)

const (
	defaultStep            = 20 * time.Millisecond
	defaultPrefillRate     = 12_000
	defaultPerSequence     = 300 * time.Microsecond
	defaultTotalBlocks     = 600
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

// Options configures an Engine. Zero fields take the defaults given in
// parentheses.
type Options struct {
	Name string
	// Role is the initial role (mixed).
	Role backing.Role
	// Models are the models loaded initially.
	Models []string
	// Adapters are the adapters loaded initially, as "model/adapter".
	Adapters []string
	// ChecksFencing makes the engine refuse an order whose fencing token is
	// lower than the highest one accepted. A crash resets the highest token.
	ChecksFencing bool
	// Step is the minimum duration of one step of the batch (20 ms).
	Step time.Duration
	// PrefillRate is the prefill speed in prompt tokens per second (12,000).
	PrefillRate float64
	// PerSequence is the time that each decoding sequence adds to a step
	// (300 µs).
	PerSequence time.Duration
	// TotalBlocks is the memory in KV cache blocks of backing.KVBlockTokens
	// tokens (600).
	TotalBlocks int
	// MaxRunning is the maximum number of sequences in the batch (64).
	MaxRunning int
	// MaxWaiting is the maximum number of sequences in the queue (1,024).
	MaxWaiting int
	// LoadLag is the age of the load that Load reports (500 ms).
	LoadLag time.Duration
	// CacheEventLag is the delay until a cache event is reported (1 s).
	CacheEventLag time.Duration
	// CacheEventLoss is the fraction of cache events that are never reported.
	// Lost events use up their sequence numbers.
	CacheEventLoss float64
	// RoleChange is the duration of a role change (5 s), counted from the end
	// of all accepted generations. The engine serves nothing in this time.
	RoleChange time.Duration
	// LoadTime returns the duration of a load (2 s for a model, 500 ms for an
	// adapter).
	LoadTime func(model, adapter string) time.Duration
	// EarlyStops makes half of the answers end before MaxTokens.
	EarlyStops bool
	// KVBytesPerToken is the size of an exported KV cache, in bytes per token
	// (16).
	KVBytesPerToken int
	// Seed makes the choice of lost cache events reproducible.
	Seed uint64
}

func (o Options) withDefaults() Options {
	o.Role = orDefault(o.Role, backing.RoleMixed)
	o.Step = orDefault(o.Step, defaultStep)
	o.PrefillRate = orDefault(o.PrefillRate, defaultPrefillRate)
	o.PerSequence = orDefault(o.PerSequence, defaultPerSequence)
	o.TotalBlocks = orDefault(o.TotalBlocks, defaultTotalBlocks)
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
