package resource

// WorkspaceSpec is a customer of the deployment.
type WorkspaceSpec struct {
	// RateTokens is the sustained rate in tokens (prompt and output) a second
	// over all entry hosts together.
	RateTokens int64 `json:"rate_tokens"`
	// BurstTokens is the bucket size in tokens.
	BurstTokens int64 `json:"burst_tokens"`
	// Weight is the share under contention; zero means 1.
	Weight int `json:"weight,omitempty"`
	// Models limits the models that the workspace may use; empty means all.
	Models []string `json:"models,omitempty"`
	// Disabled refuses all its requests.
	Disabled bool `json:"disabled,omitempty"`
}
