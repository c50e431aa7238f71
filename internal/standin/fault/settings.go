// Package fault switches the faults that all HTTP stand-ins share.
package fault

// Settings are the switches, as PUT /faults takes them. The zero value is a
// healthy service.
type Settings struct {
	// Down answers each call at once as unavailable.
	Down bool `json:"down,omitempty"`
	// Silent reads each call and never answers it; the call has no effect.
	Silent bool `json:"silent,omitempty"`
	// DelayMillis is waited before a call takes effect.
	DelayMillis int64 `json:"delay_ms,omitempty"`
	// LoseNext writes take effect and their connection closes without an answer.
	LoseNext int `json:"lose_next,omitempty"`
	// LoseRate is the probability with which each write's answer is lost.
	LoseRate float64 `json:"lose_rate,omitempty"`
}
