// Package settings reads the settings of entry and agent processes: JSON with
// comments, checked as a whole, with every problem reported at once.
//
// Durations are strings such as "500ms"; sizes are bytes as integers.
// Addresses are IP numbers with ports: no process resolves a host name.
package settings

// Entry is the settings of an entry host process.
type Entry struct {
	// Kind is "entry".
	Kind string `json:"kind" check:"required"`
	// Name is the host's name in the platform's host list.
	Name string `json:"name" check:"required,name"`
	// Domain is the failure domain that the host stands in.
	Domain string `json:"domain" check:"required,name"`
	// Region is the region of the failure domain.
	Region string `json:"region" check:"required,name"`
	// Listen holds the addresses that the process listens on.
	Listen EntryListen `json:"listen"`
	// TLS holds the certificate files of the internal connections.
	TLS TLS `json:"tls"`
	// Operators are those who may use the operators' address.
	Operators []Operator `json:"operators" check:"required"`
	// Platform holds the base URLs of the platform's services.
	Platform Platform `json:"platform"`
	// Peers are addresses of some entry hosts, to learn the others from.
	Peers []string `json:"peers" check:"address"`
	// Limits bounds what the process holds.
	Limits EntryLimits `json:"limits"`
	// Timeouts bounds how long the process waits.
	Timeouts EntryTimeouts `json:"timeouts"`
	// Lease is about the leases of control work.
	Lease Lease `json:"lease"`
	// Member is about the membership table.
	Member Member `json:"member"`
	// Quota is about the shares of workspaces' rates.
	Quota Quota `json:"quota"`
	// Usage is about usage windows and their reports.
	Usage Usage `json:"usage"`
	// Routing is about the choice of endpoints.
	Routing Routing `json:"routing"`
	// Role is about role and placement decisions.
	Role Role `json:"role"`
	// Pool is about ordering endpoints.
	Pool Pool `json:"pool"`
}

// EntryListen holds the addresses of an entry host process.
type EntryListen struct {
	// Callers is the HTTP address for callers.
	Callers string `json:"callers" check:"required,address"`
	// Operators is the address of the resource API, metrics and debugging.
	Operators string `json:"operators" check:"required,address"`
	// Peers is the drpc address for other entry hosts.
	Peers string `json:"peers" check:"required,address"`
}
