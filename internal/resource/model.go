package resource

// ModelSpec is a model that callers may name.
type ModelSpec struct {
	// Version is the version that engines must load.
	Version string `json:"version"`
	// Adapters are the adapter versions that callers may name as "model:adapter".
	Adapters []AdapterSpec `json:"adapters,omitempty"`
	// MaxPromptTokens and MaxOutputTokens bound a request.
	MaxPromptTokens int `json:"max_prompt_tokens"`
	MaxOutputTokens int `json:"max_output_tokens"`
}

// AdapterSpec is one adapter of a model.
type AdapterSpec struct {
	Name    string `json:"name"`
	Version string `json:"version"`
}
