package resource

// EndpointKind is the type of server that an agent fronts.
type EndpointKind string

// Kinds of endpoints.
const (
	EndpointEngine  EndpointKind = "engine"
	EndpointService EndpointKind = "service"
)

// EndpointSpec describes a model engine or a plain service that runs with an
// agent.
type EndpointSpec struct {
	Kind   EndpointKind `json:"type"`
	Domain string       `json:"domain"`
	// Pool is the pool of an engine. It is empty for services.
	Pool string `json:"pool,omitempty"`
	// Service is the name of the plain service. It is empty for engines.
	Service string `json:"service,omitempty"`
	// Agent is the agent's IP address and port.
	Agent string `json:"agent"`
	// ChecksFencing reports whether the endpoint rejects orders with a stale
	// fencing token.
	ChecksFencing bool `json:"checks_fencing"`
	// Models are the models that the engine serves initially.
	Models []string `json:"models,omitempty"`
	// Draining excludes the endpoint from new work.
	Draining bool `json:"draining,omitempty"`
}
