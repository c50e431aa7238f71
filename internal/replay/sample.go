package replay

import "time"

// Sample is the outcome of one request. Times are in milliseconds, measured from
// the scheduled time of the request unless stated otherwise.
type Sample struct {
	Index int `json:"index"`
	// At is the scheduled time, relative to the start of the replay.
	At        float64 `json:"at_ms"`
	Workspace string  `json:"workspace"`
	Route     string  `json:"route,omitempty"`
	Class     string  `json:"class"`
	// Status is the HTTP status, 0 if no response was received.
	Status  int    `json:"status"`
	Verdict string `json:"verdict,omitempty"`
	Code    string `json:"code,omitempty"`
	// FirstToken is the time to the first token.
	FirstToken float64 `json:"first_ms,omitempty"`
	// Total is the time to the end of the last attempt.
	Total float64 `json:"total_ms"`
	// GapP95 is the 95th percentile of the inter-token latency.
	GapP95 float64 `json:"gap_p95_ms,omitempty"`
	// GapMax is the maximum inter-token latency.
	GapMax float64 `json:"gap_max_ms,omitempty"`
	Tokens int     `json:"tokens"`
	// Complete reports whether the response is complete. A stream must have exactly
	// the requested number of tokens and the end marker.
	Complete bool `json:"whole"`
	// Lag is the delay between the scheduled time and the start of the first
	// attempt, which is caused by the client.
	Lag      float64 `json:"lag_ms"`
	Attempts int     `json:"attempts"`
	// WithinRate reports whether the workspace was within its rate at the scheduled
	// time.
	WithinRate bool `json:"within"`
	// Good reports whether the response was complete and met the targets.
	Good bool `json:"good"`

	// TotalTokens is the number of tokens of the prompt and the requested output.
	TotalTokens int64 `json:"size_tokens"`

	// tokenGaps are the inter-token latencies.
	tokenGaps []float64
	// overRate reports whether the workspace exceeded its rate during the replay;
	// see markOverRate.
	overRate bool
}

// isRefused reports whether the deployment refused the request before running it.
func (s *Sample) isRefused() bool { return s.Status >= 400 && s.Verdict == "not-run" }

// isBroken reports whether a response started but is incomplete.
func (s *Sample) isBroken() bool { return s.Status == 200 && !s.Complete }

// isChat reports whether the request is a chat, not a call of a plain service.
func (s *Sample) isChat() bool { return s.Route == "" }

// evaluate sets Good by comparing the sample with the targets of its class.
func (s *Sample) evaluate(t Targets) {
	switch {
	case !s.Complete:
		s.Good = false
	case !s.isChat():
		s.Good = s.Total <= milliseconds(t.Call)
	case s.Class == classBatch:
		s.Good = s.FirstToken <= milliseconds(t.BatchFirstToken)
	default:
		s.Good = s.FirstToken <= milliseconds(t.FirstToken) && s.GapP95 <= milliseconds(t.BetweenTokens)
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
