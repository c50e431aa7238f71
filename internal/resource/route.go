package resource

// RouteSpec maps callers' paths to a plain service.
type RouteSpec struct {
	// Prefix is the path prefix, such as "/orders".
	Prefix  string `json:"prefix"`
	Service string `json:"service"`
	// Methods are the HTTP methods allowed; empty means GET and POST.
	Methods []string `json:"methods,omitempty"`
	// Open routes need no key and belong to no workspace.
	Open bool `json:"open,omitempty"`
	// AtMostOnce calls are claimed in the store before they are sent and
	// never repeated; all others are idempotent.
	AtMostOnce bool `json:"at_most_once,omitempty"`
	// Priority is the queue class: "interactive", "standard" or "batch".
	Priority string `json:"priority,omitempty"`
	// TimeoutMillis bounds one call; zero means the entry's default.
	TimeoutMillis int64 `json:"timeout_ms,omitempty"`
}
