package settings

// Agent is the settings of the process beside an endpoint.
type Agent struct {
	// Kind is "agent".
	Kind string `json:"kind" check:"required"`
	// Name is the name of the endpoint resource.
	Name string `json:"name" check:"required,name"`
	// Domain is the failure domain that the endpoint stands in.
	Domain string `json:"domain" check:"required,name"`
	// Listen is the drpc address for entry hosts.
	Listen string `json:"listen" check:"required,address"`
	// OperatorListen is the address of metrics and debugging.
	OperatorListen string `json:"operator_listen" check:"required,address"`
	// TLS holds the certificate files of the internal connections.
	TLS TLS `json:"tls"`
	// Operators are those who may use the operators' address.
	Operators []Operator `json:"operators" check:"required"`
	// Endpoint is what stands beside the agent.
	Endpoint AgentEndpoint `json:"endpoint"`
	// Store is the base URL of the platform's store.
	Store string `json:"store" check:"required,url"`
	// Limits bounds what the process holds.
	Limits AgentLimits `json:"limits"`
	// Timeouts bounds how long the process waits.
	Timeouts AgentTimeouts `json:"timeouts"`
}

// AgentEndpoint is the endpoint beside an agent.
type AgentEndpoint struct {
	// Type is "engine" or "service".
	Type string `json:"type" check:"required,oneof=engine|service"`
	// URL is the base URL of the endpoint.
	URL string `json:"url" check:"required,url"`
	// ChecksFencing says whether the endpoint refuses old fencing numbers.
	ChecksFencing bool `json:"checks_fencing"`
}
