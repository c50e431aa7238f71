package resource

// WorkspaceSpec describes a workspace: one customer of the deployment.
type WorkspaceSpec struct {
	// RateTokens is the sustained rate in tokens per second over all entry hosts
	// together. Prompt and output tokens both count.
	RateTokens int64 `json:"rate_tokens"`
	// BurstTokens is the size of the token bucket, in tokens.
	BurstTokens int64 `json:"burst_tokens"`
	// Weight is the relative share under contention. Zero means 1.
	Weight int `json:"weight,omitempty"`
	// Models are the models that the workspace may use. Empty means all.
	Models []string `json:"models,omitempty"`
	// Disabled rejects all requests of the workspace.
	Disabled bool `json:"disabled,omitempty"`
}
