package service

import "time"

// Call is one call that the service received.
type Call struct {
	At             time.Time `json:"at"`
	RequestID      string    `json:"request_id"`
	IdempotencyKey string    `json:"idempotency_key,omitempty"`
	Method         string    `json:"method"`
	// Path includes the query.
	Path string `json:"path"`
	// BodyHash is the xxhash of the body.
	BodyHash uint64 `json:"body_hash"`
	// Truncated reports whether the body was received incompletely.
	Truncated bool `json:"truncated,omitempty"`
	// Run is the number of the execution, counted from 1 over all calls of the
	// service; zero if the call was not executed.
	Run    int                 `json:"run"`
	RanAt  time.Time           `json:"ran_at,omitzero"`
	Header map[string][]string `json:"header"`
}

// Record lists the calls received and counts their executions.
type Record struct {
	Name  string `json:"name"`
	Calls []Call `json:"calls"`
	// RunsByRequest, RunsByKey and RunsByPath count executions by X-Request-Id,
	// Idempotency-Key and path.
	RunsByRequest map[string]int `json:"runs_by_request"`
	RunsByKey     map[string]int `json:"runs_by_key"`
	RunsByPath    map[string]int `json:"runs_by_path"`
}

// Record returns the calls received so far.
func (s *Service) Record() Record {
	r := Record{
		Name:          s.options.Name,
		Calls:         s.calls.All(),
		RunsByRequest: make(map[string]int),
		RunsByKey:     make(map[string]int),
		RunsByPath:    make(map[string]int),
	}
	for _, c := range r.Calls {
		if c.Run == 0 {
			continue
		}
		r.RunsByRequest[c.RequestID]++
		r.RunsByPath[c.Path]++
		if c.IdempotencyKey != "" {
			r.RunsByKey[c.IdempotencyKey]++
		}
	}
	return r
}
