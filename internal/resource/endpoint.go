package resource

// EndpointKind says what stands behind an agent.
type EndpointKind string

// The kinds of endpoints.
const (
	EndpointEngine  EndpointKind = "engine"
	EndpointService EndpointKind = "service"
)

// EndpointSpec is a model engine or a plain service with an agent beside it.
type EndpointSpec struct {
	Kind   EndpointKind `json:"type"`
	Domain string       `json:"domain"`
	// Pool is the pool that the endpoint belongs to, for engines.
	Pool string `json:"pool,omitempty"`
	// Service names the plain service, for services.
	Service string `json:"service,omitempty"`
	// Agent is the agent's IP address and port.
	Agent string `json:"agent"`
	// ChecksFencing says whether the endpoint refuses old fencing numbers.
	ChecksFencing bool `json:"checks_fencing"`
	// Models are the models that the engine serves when it is added.
	Models []string `json:"models,omitempty"`
	// Draining asks for no new work.
	Draining bool `json:"draining,omitempty"`
}
