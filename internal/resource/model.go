package resource

// ModelSpec describes a model that callers can request.
type ModelSpec struct {
	// Version is the model version that engines must load.
	Version string `json:"version"`
	// Adapters are the adapters that callers can request as "model:adapter".
	Adapters []AdapterSpec `json:"adapters,omitempty"`
	// MaxPromptTokens is the largest prompt of a request, in tokens.
	MaxPromptTokens int `json:"max_prompt_tokens"`
	// MaxOutputTokens is the largest output of a request, in tokens.
	MaxOutputTokens int `json:"max_output_tokens"`
}

// AdapterSpec describes one adapter of a model.
type AdapterSpec struct {
	Name    string `json:"name"`
	Version string `json:"version"`
}
