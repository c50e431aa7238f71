package placement

import "time"

// Costs are the assumptions of a prediction before anything was observed, and
// the charges that keep plans cheap.
type Costs struct {
	// PrefillRate and DecodeRate are prompt tokens a millisecond at an engine
	// of the prefill and of the decode stage, until they are learned.
	PrefillRate, DecodeRate float64
	// Quadratic is the extra reading time of a token for each token before it,
	// in ms: attention grows with the context.
	Quadratic float64
	// Fixed is the time of a prefill beside its tokens, Handover that of a
	// move of KV cache.
	Fixed, Handover time.Duration
	// Crossing multiplies the time of a move between failure domains.
	Crossing float64
	// StreamCost is charged for each stream running at the decoding engine; it
	// keeps batches even.
	StreamCost time.Duration
	// CrossingCost is charged for a move between failure domains and MoveCost
	// for any, since moved bytes are paid for; a whole run avoids both.
	CrossingCost, MoveCost time.Duration
	// RereadCost is charged for each token of a shared part that another
	// engine holds and this one would read again.
	RereadCost time.Duration
}

// DefaultCosts suit an engine of a large model; rates are learned within
// seconds.
func DefaultCosts() Costs {
	return Costs{
		PrefillRate: 55, DecodeRate: 25,
		Quadratic: 3.5e-7,
		Fixed:     6 * time.Millisecond, Handover: 3 * time.Millisecond,
		Crossing:   2,
		StreamCost: 500 * time.Microsecond,
		MoveCost:   time.Millisecond, CrossingCost: 20 * time.Millisecond,
		RereadCost: 20 * time.Microsecond,
	}
}
