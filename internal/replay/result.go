package replay

import "time"

// Result is what came of a replay. Times are in milliseconds.
type Result struct {
	Trace   string    `json:"trace"`
	Seed    uint64    `json:"seed"`
	Scale   float64   `json:"scale"`
	Started time.Time `json:"started"`
	// Seconds is how long the replay took.
	Seconds float64 `json:"seconds"`
	// Interrupted is true when not all requests were sent.
	Interrupted bool       `json:"interrupted,omitempty"`
	Targets     TargetsMS  `json:"targets"`
	Chats       Group      `json:"chats"`
	Calls       Group      `json:"calls"`
	Classes     GroupByKey `json:"classes"`
	Workspaces  GroupByKey `json:"workspaces"`
	Routes      GroupByKey `json:"routes"`
	// Worst is the workspace with the lowest goodput of its chats among those
	// that are not OverRate.
	Worst Worst `json:"worst"`
	// Failures counts answers that were not whole by their code.
	Failures map[string]int `json:"failures"`
	// Lag is how late the client itself sent.
	Lag Percentiles `json:"client_lag"`
	// Figures are the deployment's own, where they could be had.
	Figures *Figures `json:"deployment,omitempty"`
	// Faults are events of the trace that were not done.
	Faults   []string `json:"faults,omitempty"`
	Timeline []Slice  `json:"timeline"`
	Checks   []Check  `json:"checks,omitempty"`
}

// GroupByKey are groups by workspace, class or route.
type GroupByKey map[string]*Group

// TargetsMS are the targets of the run.
type TargetsMS struct {
	FirstToken      float64 `json:"first_token_ms"`
	BetweenTokens   float64 `json:"between_tokens_ms"`
	BatchFirstToken float64 `json:"batch_first_token_ms"`
	Call            float64 `json:"call_ms"`
}

// Group is the figures of a part of the requests.
type Group struct {
	Sent int `json:"sent"`
	// Within counts requests of workspaces that kept their rate, Good the
	// good ones of these, and Goodput is their share.
	Within  int     `json:"within"`
	Good    int     `json:"good"`
	Goodput float64 `json:"goodput"`
	Whole   int     `json:"whole"`
	// Broken answers began and did not end as they should.
	Broken int `json:"broken"`
	// OverRate is true for a workspace that sent more than its rate, beyond
	// single requests. Which of its requests the system should refuse is
	// open, so it is judged by RateServed: the tokens of its good answers of
	// those that its rate allowed, at most 1.
	OverRate   bool    `json:"over_rate,omitempty"`
	RateServed float64 `json:"rate_served"`
	// Refused requests did not run; RefusedWithin are those within the rate
	// of workspaces that are not OverRate.
	Refused       int `json:"refused"`
	RefusedWithin int `json:"refused_within"`
	// RefusedWithinShare is RefusedWithin of Within.
	RefusedWithinShare float64 `json:"refused_within_share"`
	// Failed had no answer, or an error that is no refusal.
	Failed int `json:"failed"`
	// Tokens are generated ones, TokensPerSecond over the whole replay.
	Tokens          int         `json:"tokens"`
	TokensPerSecond float64     `json:"tokens_per_second"`
	First           Percentiles `json:"first_token"`
	Between         Percentiles `json:"between_tokens"`
	Total           Percentiles `json:"total"`
}

// Percentiles of times in milliseconds.
type Percentiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// Worst names a workspace.
type Worst struct {
	Workspace string  `json:"workspace"`
	Goodput   float64 `json:"goodput"`
}

// Slice is a part of the replay's time.
type Slice struct {
	// At is the slice's start in seconds.
	At       float64 `json:"at"`
	Sent     int     `json:"sent"`
	Refused  int     `json:"refused"`
	Goodput  float64 `json:"goodput"`
	FirstP95 float64 `json:"first_p95"`
	// Tokens are the ones generated for requests that were due in the slice.
	Tokens int `json:"tokens"`
}
