package settings

// Agent holds the settings of an agent process, which serves one endpoint.
type Agent struct {
	// Kind is "agent".
	Kind string `json:"kind" check:"required"`
	// Name is the name of the agent's endpoint resource.
	Name string `json:"name" check:"required,name"`
	// Domain is the failure domain of the endpoint.
	Domain string `json:"domain" check:"required,name"`
	// Listen is the drpc listen address for entry hosts.
	Listen string `json:"listen" check:"required,address"`
	// OperatorListen is the listen address for metrics and debugging.
	OperatorListen string `json:"operator_listen" check:"required,address"`
	// TLS holds the certificate files of the internal connections.
	TLS TLS `json:"tls"`
	// Operators lists the operators that may use the operator address.
	Operators []Operator `json:"operators" check:"required"`
	// Endpoint describes the endpoint that the agent serves.
	Endpoint AgentEndpoint `json:"endpoint"`
	// Store is the base URL of the platform's store.
	Store string `json:"store" check:"required,url"`
	// Limits bounds the resources that the process uses.
	Limits AgentLimits `json:"limits"`
	// Timeouts holds the timeouts and intervals of the process.
	Timeouts AgentTimeouts `json:"timeouts"`
}

// AgentEndpoint describes the endpoint of an agent.
type AgentEndpoint struct {
	// Type is "engine" or "service".
	Type string `json:"type" check:"required,oneof=engine|service"`
	// URL is the base URL of the endpoint.
	URL string `json:"url" check:"required,url"`
	// ChecksFencing reports whether the endpoint rejects orders with a stale fencing token.
	ChecksFencing bool `json:"checks_fencing"`
}
