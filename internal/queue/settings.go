package queue

import "time"

// Settings holds the limits of a queue.
type Settings struct {
	Classes [classCount]ClassSettings
	// LongPromptTokens is the minimum prefill work of a long request, in tokens.
	LongPromptTokens int
	// LongPrefillFraction is the fraction of the prefill capacity, from 0 to 1,
	// that long prompts may reserve at a time.
	LongPrefillFraction float64
	// LongShare is the fraction of a class's work, from 0 to 1, that its long
	// prompts receive even while short ones are waiting.
	LongShare float64
}

// DefaultSettings returns the default limits of one entry host.
func DefaultSettings() Settings {
	return Settings{
		Classes: [classCount]ClassSettings{
			Interactive: {MaxWaiting: 2000, Deadline: 2 * time.Second, Share: 0},
			Standard:    {MaxWaiting: 2000, Deadline: 10 * time.Second, Share: 0.1},
			Batch:       {MaxWaiting: 2000, Deadline: time.Minute, Share: 0.05},
		},
		LongPromptTokens:    4000,
		LongPrefillFraction: 0.5,
		LongShare:           0.2,
	}
}

// Capacity is the amount of work that one entry host may have in progress at its
// endpoints, and the speed at which they process it.
type Capacity struct {
	// PrefillTokens bounds the admitted prompt work not yet prefilled, in tokens.
	PrefillTokens int64
	// KVBlocks bounds the KV cache blocks of backing.KVBlockTokens tokens that
	// admitted requests may need.
	KVBlocks int64
	// Streams bounds the number of admitted requests, so that the engines' batches
	// are small enough for the promised time between tokens. Zero means no bound.
	Streams int64
	// PrefillRate is the endpoints' prefill throughput, in tokens per second.
	PrefillRate int64
	// DecodeRate is the endpoints' decode throughput, in tokens per second.
	DecodeRate int64
}
