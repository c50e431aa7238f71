package usage

// Figures are amounts of usage. They are additive and never decrease.
type Figures struct {
	PromptTokens int64 `json:"prompt_tokens"`
	OutputTokens int64 `json:"output_tokens"`
	// CachedTokens is the portion of PromptTokens served from engines' KV caches.
	CachedTokens int64 `json:"cached_tokens,omitempty"`
	Calls        int64 `json:"calls"`
}

// Plus returns the sum of f and other.
func (f Figures) Plus(other Figures) Figures {
	return Figures{
		PromptTokens: f.PromptTokens + other.PromptTokens,
		OutputTokens: f.OutputTokens + other.OutputTokens,
		CachedTokens: f.CachedTokens + other.CachedTokens,
		Calls:        f.Calls + other.Calls,
	}
}

// Line identifies a workspace's usage of one model or of one plain service.
type Line struct {
	Workspace string
	Model     string
}

// Window is the start of a usage window in Unix seconds.
type Window int64
