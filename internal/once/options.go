package once

import "time"

// Defaults of Options.
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

// Options are the limits of Claims. A zero field takes its default.
type Options struct {
	// Shards is the number of head records; all hosts use the same.
	Shards int
	// Retention is how long a key is remembered.
	Retention time.Duration
	// Linger is how long a write waits for more claims.
	Linger time.Duration
	// OutcomeLinger is how long outcomes wait for a claim to be written with.
	OutcomeLinger time.Duration
	// SealBytes is the size at which the open page is sealed.
	SealBytes int
	// ResultBytes is the largest answer that is recorded.
	ResultBytes int
	// SendLimit bounds the time from the start of the claim to the end of
	// the request. A claim older than this has no living holder.
	SendLimit time.Duration
	// RepeatWait is how long a repeat waits for the first request's answer.
	RepeatWait time.Duration
	// StoreTimeout bounds one call of the store.
	StoreTimeout time.Duration
	// ClaimWait bounds the wait for the store before a refusal.
	ClaimWait time.Duration
	// Pending bounds the keys in progress and unrecorded on this host, by shard.
	Pending int
	// ShardClaims bounds the claims of one shard held in memory.
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
