package settings

// EntryTimeouts holds the timeouts and intervals of an entry host process.
type EntryTimeouts struct {
	// Header is the timeout for receiving a request header from a caller.
	Header Duration `json:"header" check:"min=10ms,max=10m"`
	// Body is the timeout for receiving a request body from a caller.
	Body Duration `json:"body" check:"min=10ms,max=1h"`
	// Idle is how long a caller's connection may stay open without a request.
	Idle Duration `json:"idle" check:"min=10ms,max=1h"`
	// Write is how long a write of the response to a caller may make no progress.
	Write Duration `json:"write" check:"min=10ms,max=1h"`
	// Queue is the maximum time that a request waits for an endpoint.
	Queue Duration `json:"queue" check:"min=10ms,max=1h"`
	// FirstToken is the timeout for the first token from an endpoint.
	FirstToken Duration `json:"first_token" check:"min=10ms,max=1h"`
	// BetweenTokens is the timeout for each subsequent token from an endpoint.
	BetweenTokens Duration `json:"between_tokens" check:"min=10ms,max=10m"`
	// Call is the timeout for a non-streaming call whose route sets none.
	Call Duration `json:"call" check:"min=10ms,max=1h"`
	// Drain is how long a graceful shutdown waits for running requests.
	Drain Duration `json:"drain" check:"min=100ms,max=24h"`
	// DrainNotice is how long /readyz reports not-ready before the listener closes.
	DrainNotice Duration `json:"drain_notice" check:"min=0s,max=10m"`
	// Heartbeat is the heartbeat interval on sessions with open requests. On idle sessions the
	// interval is silent - heartbeat.
	Heartbeat Duration `json:"heartbeat" check:"min=10ms,max=1m"`
	// SilenceTimeout is how long a session with open requests may receive nothing before it is
	// considered lost. On idle sessions it is 2.5 times as long.
	SilenceTimeout Duration `json:"silent" check:"min=20ms,max=10m"`
	// Dial is the timeout for opening an internal connection.
	Dial Duration `json:"dial" check:"min=10ms,max=1m"`
	// ReconnectMin is the initial backoff before reconnecting.
	ReconnectMin Duration `json:"reconnect_min" check:"min=1ms,max=1m"`
	// ReconnectMax is the maximum backoff before reconnecting.
	ReconnectMax Duration `json:"reconnect_max" check:"min=1ms,max=10m"`
}

// AgentTimeouts holds the timeouts and intervals of an agent process.
type AgentTimeouts struct {
	// Heartbeat is the heartbeat interval on sessions with open requests. On idle sessions the
	// interval is silent - heartbeat.
	Heartbeat Duration `json:"heartbeat" check:"min=10ms,max=1m"`
	// SilenceTimeout is how long a session with open requests may receive nothing before it is
	// considered lost. On idle sessions it is 2.5 times as long.
	SilenceTimeout Duration `json:"silent" check:"min=20ms,max=10m"`
	// LoadInterval is the interval between reads of the engine's load.
	LoadInterval Duration `json:"load" check:"min=10ms,max=1m"`
	// Dial is the timeout for opening a connection to the endpoint.
	Dial Duration `json:"dial" check:"min=10ms,max=1m"`
	// Call is the maximum duration of a non-streaming call.
	Call Duration `json:"call" check:"min=10ms,max=1h"`
	// Order is the timeout for the engine to complete an order.
	Order Duration `json:"order" check:"min=10ms,max=24h"`
	// Drain is how long a graceful shutdown waits for running requests.
	Drain Duration `json:"drain" check:"min=100ms,max=24h"`
}
