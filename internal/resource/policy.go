package resource

// PolicySpec weighs the aims of a deployment. There is one, named "default".
type PolicySpec struct {
	// GoodputWeight, FairnessWeight and CostWeight weigh goodput, the
	// worst-served workspace and endpoint cost; they need not add up to one.
	GoodputWeight  float64 `json:"goodput_weight"`
	FairnessWeight float64 `json:"fairness_weight"`
	CostWeight     float64 `json:"cost_weight"`
	// RoleFloor is the least number of engines per role and domain.
	RoleFloor int `json:"role_floor"`
	// HeadroomDomains is how many domains may be lost without overload.
	HeadroomDomains int `json:"headroom_domains"`
}
