package service

import "time"

// Call is one call that the service received.
type Call struct {
	At             time.Time `json:"at"`
	RequestID      string    `json:"request_id"`
	IdempotencyKey string    `json:"idempotency_key,omitempty"`
	Method         string    `json:"method"`
	// Path holds the query too.
	Path     string `json:"path"`
	BodyHash uint64 `json:"body_hash"`
	// Truncated is true if the body did not arrive whole.
	Truncated bool `json:"truncated,omitempty"`
	// Run numbers the runs of the service; zero if the call did not run.
	Run    int                 `json:"run"`
	RanAt  time.Time           `json:"ran_at,omitzero"`
	Header map[string][]string `json:"header"`
}

// Record is all that the service received, with its runs counted.
type Record struct {
	Name  string `json:"name"`
	Calls []Call `json:"calls"`
	// Runs counts runs by X-Request-Id, by Idempotency-Key and by path.
	RunsByRequest map[string]int `json:"runs_by_request"`
	RunsByKey     map[string]int `json:"runs_by_key"`
	RunsByPath    map[string]int `json:"runs_by_path"`
}

// Record returns what the service received.
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
