package resource

// PoolSpec is a set of endpoints that operators pay for.
type PoolSpec struct {
	// Model is what the engines of the pool serve.
	Model string `json:"model"`
	// Domains are where endpoints may be ordered.
	Domains []string `json:"domains"`
	// Min and Max bound the endpoints per domain.
	Min int `json:"min"`
	Max int `json:"max"`
	// BudgetHours bounds endpoint hours a day over all domains; zero: no bound.
	BudgetHours float64 `json:"budget_hours,omitempty"`
	// PrefillTokens and DecodeTokens are one endpoint's capacity in tokens a
	// second.
	PrefillTokens int64 `json:"prefill_tokens"`
	DecodeTokens  int64 `json:"decode_tokens"`
	// StartSeconds is how long an ordered endpoint takes to run.
	StartSeconds int64 `json:"start_seconds"`
}
