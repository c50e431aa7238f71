package placement

import "time"

// Costs holds the initial estimates for predictions and the penalties that are
// added to predicted times when plans are compared.
type Costs struct {
	// PrefillRate and DecodeRate are the initial prefill rates of prefill and
	// decode engines, in prompt tokens per millisecond; observed rates replace
	// them.
	PrefillRate, DecodeRate float64
	// Quadratic is the additional prefill time of a token for each token before
	// it, in ms: the cost of attention grows with the context.
	Quadratic float64
	// PrefillOverhead is the fixed time of a prefill, independent of its tokens.
	// TransferOverhead is the fixed time of a KV cache transfer.
	PrefillOverhead, TransferOverhead time.Duration
	// CrossDomainFactor multiplies the time of a transfer between failure domains.
	CrossDomainFactor float64
	// StreamCost is the penalty for each stream running on the decode engine;
	// it keeps batch sizes even.
	StreamCost time.Duration
	// ConnectCost is the penalty for an engine to which a connection must be opened.
	ConnectCost time.Duration
	// CrossDomainCost is the penalty for a transfer between failure domains.
	// TransferCost is the penalty for any other transfer, since traffic has a
	// price. A request that is not split incurs neither.
	CrossDomainCost, TransferCost time.Duration
	// DisplacementCost is the penalty for each token of a cached prefix segment that
	// is copied from another engine: the copy displaces as much from the engine's
	// cache, which other prompts then lack.
	DisplacementCost time.Duration
	// RecomputeCost is the penalty for each token of a shared prefix segment that
	// the engine would prefill although another engine has it cached.
	RecomputeCost time.Duration
}

// DefaultCosts returns costs for engines of a large model; observed rates
// replace the initial ones within seconds.
func DefaultCosts() Costs {
	return Costs{
		PrefillRate: 55, DecodeRate: 25,
		Quadratic:       3.5e-7,
		PrefillOverhead: 20 * time.Millisecond, TransferOverhead: 3 * time.Millisecond,
		CrossDomainFactor: 2,
		StreamCost:        500 * time.Microsecond,
		ConnectCost:       4 * time.Millisecond,
		TransferCost:      time.Millisecond, CrossDomainCost: 20 * time.Millisecond,
		DisplacementCost: 20 * time.Microsecond, RecomputeCost: 20 * time.Microsecond,
	}
}
