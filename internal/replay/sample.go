package replay

import "time"

// Sample is what became of one request. Times are in milliseconds and counted
// from the moment at which the request was due.
type Sample struct {
	Index     int     `json:"index"`
	At        float64 `json:"at_ms"`
	Workspace string  `json:"workspace"`
	Route     string  `json:"route,omitempty"`
	Class     string  `json:"class"`
	// Status is the HTTP status; 0 when there was no answer.
	Status  int    `json:"status"`
	Verdict string `json:"verdict,omitempty"`
	Code    string `json:"code,omitempty"`
	// First and Total are when the first token and the end came.
	First float64 `json:"first_ms,omitempty"`
	Total float64 `json:"total_ms"`
	// GapP95 and GapMax are of the times between tokens.
	GapP95 float64 `json:"gap_p95_ms,omitempty"`
	GapMax float64 `json:"gap_max_ms,omitempty"`
	Tokens int     `json:"tokens"`
	// Whole is true for an answer that ended as it should, with every token
	// that was asked for.
	Whole bool `json:"whole"`
	// Lag is how late the request was sent.
	Lag      float64 `json:"lag_ms"`
	Attempts int     `json:"attempts"`
	// Within is true when the workspace was within its rate.
	Within bool `json:"within"`
	// Good is true when the answer was whole and in time.
	Good bool `json:"good"`

	// Size is the request's tokens, of the prompt and of the whole answer.
	Size int64 `json:"size_tokens"`

	gaps []float64
	// overRate is true when the workspace sent more than its rate.
	overRate bool
}

// refused says whether the system refused the request and nothing ran.
func (s *Sample) refused() bool { return s.Status >= 400 && s.Verdict == "not-run" }

// broken says whether an answer began and did not end as it should.
func (s *Sample) broken() bool { return s.Status == 200 && !s.Whole }

// chat says whether the request was one for a model.
func (s *Sample) chat() bool { return s.Route == "" }

// judge sets Good.
func (s *Sample) judge(t Targets) {
	switch {
	case !s.Whole:
		s.Good = false
	case !s.chat():
		s.Good = s.Total <= ms(t.Call)
	case s.Class == classBatch:
		s.Good = s.First <= ms(t.BatchFirstToken)
	default:
		s.Good = s.First <= ms(t.FirstToken) && s.GapP95 <= ms(t.BetweenTokens)
	}
}

// ms returns d in milliseconds.
func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
