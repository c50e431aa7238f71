package replay

import "time"

// Result is the outcome of a replay. Times are in milliseconds unless stated
// otherwise.
type Result struct {
	Trace   string    `json:"trace"`
	Seed    uint64    `json:"seed"`
	Scale   float64   `json:"scale"`
	Started time.Time `json:"started"`
	// Seconds is the duration of the replay in seconds.
	Seconds float64 `json:"seconds"`
	// Interrupted reports whether the replay ended before all requests were sent.
	Interrupted bool       `json:"interrupted,omitempty"`
	Targets     TargetsMS  `json:"targets"`
	Chats       Group      `json:"chats"`
	Calls       Group      `json:"calls"`
	Classes     GroupByKey `json:"classes"`
	Workspaces  GroupByKey `json:"workspaces"`
	Routes      GroupByKey `json:"routes"`
	// Worst is the workspace with the lowest chat goodput among those that are
	// not OverRate.
	Worst WorstWorkspace `json:"worst"`
	// Failures counts requests without a complete response by failure code.
	Failures map[string]int `json:"failures"`
	// ClientLag is the delay with which the client sent requests after their
	// scheduled times.
	ClientLag Percentiles `json:"client_lag"`
	// Figures are recorded by the deployment; nil if they are unavailable.
	Figures *DeploymentFigures `json:"deployment,omitempty"`
	// EventErrors describe events of the trace that were not applied.
	EventErrors []string        `json:"faults,omitempty"`
	Timeline    []TimelineSlice `json:"timeline"`
	Checks      []Check         `json:"checks,omitempty"`
}

// GroupByKey maps workspaces, classes or routes to their groups.
type GroupByKey map[string]*Group

// TargetsMS are the latency targets of the replay in milliseconds.
type TargetsMS struct {
	FirstToken      float64 `json:"first_token_ms"`
	BetweenTokens   float64 `json:"between_tokens_ms"`
	BatchFirstToken float64 `json:"batch_first_token_ms"`
	Call            float64 `json:"call_ms"`
}

// Group holds the metrics of a subset of the requests.
type Group struct {
	Sent int `json:"sent"`
	// WithinRate is the number of requests within their workspace's rate.
	WithinRate int `json:"within"`
	// Good is the number of those that met the targets.
	Good int `json:"good"`
	// Goodput is Good / WithinRate.
	Goodput float64 `json:"goodput"`
	// Complete is the number of complete responses.
	Complete int `json:"whole"`
	// Broken is the number of responses that started but are incomplete.
	Broken int `json:"broken"`
	// OverRate reports whether a workspace exceeded its rate by more than single
	// requests. Which of its requests the deployment should refuse is undefined,
	// so such a workspace is evaluated by RateServed instead.
	OverRate bool `json:"over_rate,omitempty"`
	// RateServed is the number of tokens of good requests divided by the number
	// of tokens that the rate allowed, at most 1.
	RateServed float64 `json:"rate_served"`
	// Refused is the number of requests that were refused without running.
	Refused int `json:"refused"`
	// RefusedWithin is the number of refused requests within the rate of
	// workspaces that are not OverRate.
	RefusedWithin int `json:"refused_within"`
	// RefusedWithinShare is RefusedWithin / WithinRate.
	RefusedWithinShare float64 `json:"refused_within_share"`
	// Failed is the number of requests without a response or with an error other
	// than a refusal.
	Failed int `json:"failed"`
	// Tokens is the number of generated tokens.
	Tokens int `json:"tokens"`
	// TokensPerSecond is Tokens divided by the duration of the replay.
	TokensPerSecond float64 `json:"tokens_per_second"`
	// FirstToken is the time to first token.
	FirstToken Percentiles `json:"first_token"`
	// BetweenTokens is the inter-token latency.
	BetweenTokens Percentiles `json:"between_tokens"`
	// Total is the time to the end of complete responses.
	Total Percentiles `json:"total"`
}

// Percentiles of durations in milliseconds.
type Percentiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// WorstWorkspace is the workspace with the lowest goodput; see Result.Worst.
type WorstWorkspace struct {
	Workspace string  `json:"workspace"`
	Goodput   float64 `json:"goodput"`
}

// TimelineSlice holds the metrics of a time interval of the replay.
type TimelineSlice struct {
	// At is the start of the interval in seconds.
	At      float64 `json:"at"`
	Sent    int     `json:"sent"`
	Refused int     `json:"refused"`
	Goodput float64 `json:"goodput"`
	// FirstP95 is the 95th percentile of the time to first token.
	FirstP95 float64 `json:"first_p95"`
	// Tokens is the number of tokens generated for requests that were scheduled
	// in the interval.
	Tokens int `json:"tokens"`
}
