// Package settings loads and validates the settings of entry host and agent
// processes. Settings files are JSON with comments. Validation covers the whole
// file and returns all problems at once.
//
// Durations are strings such as "500ms". Sizes are integers in bytes.
// Addresses are IP addresses with ports, because no process resolves host names.
package settings

// Entry holds the settings of an entry host process.
type Entry struct {
	// Kind is "entry".
	Kind string `json:"kind" check:"required"`
	// Name is the host's name in the platform's host list.
	Name string `json:"name" check:"required,name"`
	// Domain is the failure domain of the host.
	Domain string `json:"domain" check:"required,name"`
	// Region is the region of the failure domain.
	Region string `json:"region" check:"required,name"`
	// Listen holds the addresses that the process listens on.
	Listen EntryListen `json:"listen"`
	// TLS holds the certificate files of the internal connections.
	TLS TLS `json:"tls"`
	// Operators lists the operators that may use the operator address.
	Operators []Operator `json:"operators" check:"required"`
	// Platform holds the base URLs of the platform's services.
	Platform Platform `json:"platform"`
	// Peers lists addresses of entry hosts to join through. They provide the addresses of all others.
	Peers []string `json:"peers" check:"address"`
	// Limits bounds the resources that the process uses.
	Limits EntryLimits `json:"limits"`
	// Timeouts holds the timeouts and intervals of the process.
	Timeouts EntryTimeouts `json:"timeouts"`
	// Lease configures the leases on control work.
	Lease Lease `json:"lease"`
	// Membership configures the membership table.
	Membership Membership `json:"member"`
	// Quota configures how the rates of workspaces are divided among entry hosts.
	Quota Quota `json:"quota"`
	// Usage configures usage windows and usage reports.
	Usage Usage `json:"usage"`
	// Routing configures the selection of endpoints.
	Routing Routing `json:"routing"`
	// Role configures role and placement decisions.
	Role Role `json:"role"`
	// Pool configures the scaling of endpoint pools.
	Pool Pool `json:"pool"`
}

// EntryListen holds the listen addresses of an entry host process.
type EntryListen struct {
	// Callers is the HTTP listen address for callers.
	Callers string `json:"callers" check:"required,address"`
	// Operators is the listen address for the resource API, metrics and debugging.
	Operators string `json:"operators" check:"required,address"`
	// Peers is the drpc listen address for other entry hosts.
	Peers string `json:"peers" check:"required,address"`
}
