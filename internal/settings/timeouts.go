package settings

// EntryTimeouts bounds how long an entry host process waits.
type EntryTimeouts struct {
	// Header is how long a caller may take to send a request header.
	Header Duration `json:"header" check:"min=10ms,max=10m"`
	// Body is how long a caller may take to send a request body.
	Body Duration `json:"body" check:"min=10ms,max=1h"`
	// Idle is how long a caller's connection may stay without a request.
	Idle Duration `json:"idle" check:"min=10ms,max=1h"`
	// Write is how long a caller may take none of the answer.
	Write Duration `json:"write" check:"min=10ms,max=1h"`
	// Queue is how long a request may wait for an endpoint.
	Queue Duration `json:"queue" check:"min=10ms,max=1h"`
	// FirstToken is how long an endpoint may take to its first token.
	FirstToken Duration `json:"first_token" check:"min=10ms,max=1h"`
	// BetweenTokens is how long an endpoint may take to each next token.
	BetweenTokens Duration `json:"between_tokens" check:"min=10ms,max=10m"`
	// Call is how long a plain call may take where its route names no time.
	Call Duration `json:"call" check:"min=10ms,max=1h"`
	// Drain is how long a planned stop waits for running requests.
	Drain Duration `json:"drain" check:"min=100ms,max=24h"`
	// DrainNotice is how long /readyz says not-ready before the listener closes.
	DrainNotice Duration `json:"drain_notice" check:"min=0s,max=10m"`
	// Heartbeat is the time between heartbeats on an internal connection.
	Heartbeat Duration `json:"heartbeat" check:"min=10ms,max=1m"`
	// Silent is how long an internal connection may bring nothing.
	Silent Duration `json:"silent" check:"min=20ms,max=10m"`
	// Dial is how long an internal connection may take to open.
	Dial Duration `json:"dial" check:"min=10ms,max=1m"`
	// ReconnectMin is the first wait before a new connection.
	ReconnectMin Duration `json:"reconnect_min" check:"min=1ms,max=1m"`
	// ReconnectMax is the longest wait before a new connection.
	ReconnectMax Duration `json:"reconnect_max" check:"min=1ms,max=10m"`
}

// AgentTimeouts bounds how long an agent process waits.
type AgentTimeouts struct {
	// Heartbeat is the time between heartbeats on a session.
	Heartbeat Duration `json:"heartbeat" check:"min=10ms,max=1m"`
	// Silent is how long a session may bring nothing.
	Silent Duration `json:"silent" check:"min=20ms,max=10m"`
	// Load is the time between reads of the engine's load.
	Load Duration `json:"load" check:"min=10ms,max=1m"`
	// Dial is how long a connection to the endpoint may take to open.
	Dial Duration `json:"dial" check:"min=10ms,max=1m"`
	// Call is the longest time for a plain call.
	Call Duration `json:"call" check:"min=10ms,max=1h"`
	// Order is how long the engine may take to finish an order.
	Order Duration `json:"order" check:"min=10ms,max=24h"`
	// Drain is how long a planned stop waits for running requests.
	Drain Duration `json:"drain" check:"min=100ms,max=24h"`
}
