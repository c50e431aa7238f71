package resource

// PoolSpec describes a set of engines that the operators pay for.
type PoolSpec struct {
	// Model is the model that the engines of the pool serve.
	Model string `json:"model"`
	// Domains are the failure domains in which endpoints may be ordered.
	Domains []string `json:"domains"`
	// Min is the minimum number of endpoints per domain.
	Min int `json:"min"`
	// Max is the maximum number of endpoints per domain.
	Max int `json:"max"`
	// BudgetHours limits the endpoint hours per day over all domains. Zero means
	// no limit.
	BudgetHours float64 `json:"budget_hours,omitempty"`
	// PrefillTokens is the prefill capacity of one endpoint in tokens per second.
	PrefillTokens int64 `json:"prefill_tokens"`
	// DecodeTokens is the decode capacity of one endpoint in tokens per second.
	DecodeTokens int64 `json:"decode_tokens"`
	// StartSeconds is the time from ordering an endpoint until it runs.
	StartSeconds int64 `json:"start_seconds"`
}
