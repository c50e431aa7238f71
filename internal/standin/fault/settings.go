// Package fault injects the faults that all HTTP stand-ins have in common.
package fault

// Settings is the fault configuration of a stand-in and the body of
// PUT /faults. The zero value injects no fault.
type Settings struct {
	// Down fails every call immediately with backing.ErrUnavailable.
	Down bool `json:"down,omitempty"`
	// Silent reads every call, does not execute it and never responds.
	Silent bool `json:"silent,omitempty"`
	// DelayMillis is the delay before a call is executed, in milliseconds.
	DelayMillis int64 `json:"delay_ms,omitempty"`
	// LoseNext is the number of following writes that are executed but whose
	// connection is closed without a response.
	LoseNext int `json:"lose_next,omitempty"`
	// LoseRate is the probability that the response to a write is lost in the
	// same way.
	LoseRate float64 `json:"lose_rate,omitempty"`
}
