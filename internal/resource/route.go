package resource

// RouteSpec maps a path prefix of caller requests to a plain service.
type RouteSpec struct {
	// Prefix is the path prefix, such as "/orders".
	Prefix  string `json:"prefix"`
	Service string `json:"service"`
	// Methods are the allowed HTTP methods. Empty means GET and POST.
	Methods []string `json:"methods,omitempty"`
	// Open makes the route available without a key. Its calls belong to no
	// workspace.
	Open bool `json:"open,omitempty"`
	// AtMostOnce claims each call in the store before it is sent, and a call is
	// never resent. Calls of all other routes are treated as idempotent.
	AtMostOnce bool `json:"at_most_once,omitempty"`
	// Priority is the queue class: "interactive", "standard" or "batch".
	Priority string `json:"priority,omitempty"`
	// TimeoutMillis limits the duration of one call, in milliseconds. Zero means
	// the default of the entry host.
	TimeoutMillis int64 `json:"timeout_ms,omitempty"`
}
