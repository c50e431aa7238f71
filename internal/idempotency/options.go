package idempotency

import "time"

// Default values of Options.
const (
	defaultShards            = 16
	defaultRetention         = 24 * time.Hour
	defaultClaimBatchDelay   = 15 * time.Millisecond
	defaultOutcomeBatchDelay = 200 * time.Millisecond
	defaultMaxPageBytes      = 64 << 10
	defaultMaxResponseBytes  = 16 << 10
	defaultRequestTimeout    = 60 * time.Second
	defaultRepeatTimeout     = 10 * time.Second
	defaultClaimTimeout      = 3 * time.Second
	defaultStoreTimeout      = time.Second
	defaultMaxPendingKeys    = 4096
	defaultMaxShardClaims    = 1 << 20
)

// Options configures Claims. A zero field takes its default.
type Options struct {
	// Shards is the number of head records. It must be the same on all hosts.
	Shards int
	// Retention is how long a claim prevents a new claim of its key.
	Retention time.Duration
	// ClaimBatchDelay is the batching delay of a write that contains a claim.
	ClaimBatchDelay time.Duration
	// OutcomeBatchDelay is the batching delay of a write that contains only
	// outcomes. A claim that is queued meanwhile ends it.
	OutcomeBatchDelay time.Duration
	// MaxPageBytes is the encoded size in bytes of a head above which its open
	// page is sealed.
	MaxPageBytes int
	// MaxResponseBytes is the size in bytes of the largest response that is stored.
	MaxResponseBytes int
	// RequestTimeout bounds the time from the start of the claim to the end of the
	// request. The request of a claim that is older than twice this limit is
	// assumed to have ended.
	RequestTimeout time.Duration
	// RepeatTimeout bounds how long a repeat waits for the first request's
	// response.
	RepeatTimeout time.Duration
	// StoreTimeout bounds a single store call.
	StoreTimeout time.Duration
	// ClaimTimeout bounds how long a claim may wait for the store before it is
	// refused.
	ClaimTimeout time.Duration
	// MaxPendingKeys is the maximum number of keys per shard on this host that
	// are in progress or whose outcome is not yet recorded.
	MaxPendingKeys int
	// MaxShardClaims is the maximum number of claims of one shard held in memory.
	MaxShardClaims int
}

func (o Options) withDefaults() Options {
	setDefault(&o.Shards, defaultShards)
	setDefault(&o.Retention, defaultRetention)
	setDefault(&o.ClaimBatchDelay, defaultClaimBatchDelay)
	setDefault(&o.OutcomeBatchDelay, defaultOutcomeBatchDelay)
	setDefault(&o.MaxPageBytes, defaultMaxPageBytes)
	setDefault(&o.MaxResponseBytes, defaultMaxResponseBytes)
	setDefault(&o.RequestTimeout, defaultRequestTimeout)
	setDefault(&o.RepeatTimeout, defaultRepeatTimeout)
	setDefault(&o.ClaimTimeout, defaultClaimTimeout)
	setDefault(&o.StoreTimeout, defaultStoreTimeout)
	setDefault(&o.MaxPendingKeys, defaultMaxPendingKeys)
	setDefault(&o.MaxShardClaims, defaultMaxShardClaims)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
