package queue

import "time"

// Settings bound a queue.
type Settings struct {
	Classes [classCount]ClassSettings
	// LongPrompt is the prefill work in tokens from which a request is long.
	LongPrompt int
	// LongLimit is the part of the prefill capacity that long prompts may
	// hold at a time, from 0 to 1.
	LongLimit float64
	// LongShare is the part of a class's work that its long prompts are given
	// even while short ones wait, from 0 to 1.
	LongShare float64
}

// DefaultSettings are the bounds for one entry host.
func DefaultSettings() Settings {
	return Settings{
		Classes: [classCount]ClassSettings{
			Interactive: {MaxWaiting: 2000, Deadline: 2 * time.Second, Share: 0},
			Standard:    {MaxWaiting: 2000, Deadline: 10 * time.Second, Share: 0.1},
			Batch:       {MaxWaiting: 2000, Deadline: time.Minute, Share: 0.05},
		},
		LongPrompt: 4000,
		LongLimit:  0.5,
		LongShare:  0.2,
	}
}

// Capacity is what one entry host may have in progress at its endpoints.
type Capacity struct {
	// PrefillTokens is the prompt work that may be admitted and not yet
	// prefilled, in tokens.
	PrefillTokens int64
	// Pieces is the engine memory that admitted requests may need, in pieces
	// of backing.PieceTokens tokens.
	Pieces int64
	// Streams is how many requests may be admitted at a time, so that the
	// engines' batches stay small enough for the promised time between
	// tokens; zero means no bound.
	Streams int64
	// PrefillRate and DecodeRate are the endpoints' speed in tokens a second.
	PrefillRate int64
	DecodeRate  int64
}
