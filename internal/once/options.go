package once

import "time"

// Default values of Options.
const (
	defaultShards        = 16
	defaultRetention     = 24 * time.Hour
	defaultLinger        = 15 * time.Millisecond
	defaultOutcomeLinger = 200 * time.Millisecond
	defaultSealBytes     = 64 << 10
	defaultResultBytes   = 16 << 10
	defaultSendLimit     = 60 * time.Second
	defaultRepeatWait    = 10 * time.Second
	defaultClaimWait     = 3 * time.Second
	defaultStoreTimeout  = time.Second
	defaultPending       = 4096
	defaultShardClaims   = 1 << 20
)

// Options configures Claims. A zero field takes its default.
type Options struct {
	// Shards is the number of head records. It must be the same on all hosts.
	Shards int
	// Retention is how long a key is remembered.
	Retention time.Duration
	// Linger is the batching delay of a write that contains a claim.
	Linger time.Duration
	// OutcomeLinger is the batching delay of a write that contains only
	// outcomes. A claim that is queued meanwhile ends it.
	OutcomeLinger time.Duration
	// SealBytes is the encoded size in bytes of a head above which its open
	// page is sealed.
	SealBytes int
	// ResultBytes is the size in bytes of the largest response that is stored.
	ResultBytes int
	// SendLimit bounds the time from the start of the claim to the end of the
	// request. The request of a claim that is older than twice this limit is
	// assumed to have ended.
	SendLimit time.Duration
	// RepeatWait bounds how long a repeat waits for the first request's
	// response.
	RepeatWait time.Duration
	// StoreTimeout bounds a single store call.
	StoreTimeout time.Duration
	// ClaimWait bounds how long a claim may wait for the store before it is
	// refused.
	ClaimWait time.Duration
	// Pending is the maximum number of keys per shard on this host that are in
	// progress or whose outcome is not yet recorded.
	Pending int
	// ShardClaims is the maximum number of claims of one shard held in memory.
	ShardClaims int
}

func (o Options) withDefaults() Options {
	setDefault(&o.Shards, defaultShards)
	setDefault(&o.Retention, defaultRetention)
	setDefault(&o.Linger, defaultLinger)
	setDefault(&o.OutcomeLinger, defaultOutcomeLinger)
	setDefault(&o.SealBytes, defaultSealBytes)
	setDefault(&o.ResultBytes, defaultResultBytes)
	setDefault(&o.SendLimit, defaultSendLimit)
	setDefault(&o.RepeatWait, defaultRepeatWait)
	setDefault(&o.ClaimWait, defaultClaimWait)
	setDefault(&o.StoreTimeout, defaultStoreTimeout)
	setDefault(&o.Pending, defaultPending)
	setDefault(&o.ShardClaims, defaultShardClaims)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
