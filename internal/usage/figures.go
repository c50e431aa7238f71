package usage

// Figures are amounts used. They only grow.
type Figures struct {
	PromptTokens int64 `json:"prompt_tokens"`
	OutputTokens int64 `json:"output_tokens"`
	// CachedTokens is the part of PromptTokens that engines' caches served.
	CachedTokens int64 `json:"cached_tokens,omitempty"`
	Calls        int64 `json:"calls"`
}

// Plus returns the sum.
func (f Figures) Plus(o Figures) Figures {
	return Figures{
		PromptTokens: f.PromptTokens + o.PromptTokens,
		OutputTokens: f.OutputTokens + o.OutputTokens,
		CachedTokens: f.CachedTokens + o.CachedTokens,
		Calls:        f.Calls + o.Calls,
	}
}

// Line is a workspace's use of one model, or of one plain service.
type Line struct {
	Workspace string
	Model     string
}

// Window is the start of a usage window in Unix seconds.
type Window int64
