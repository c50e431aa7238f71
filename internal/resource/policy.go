package resource

// PolicySpec weighs the objectives of a deployment. There is exactly one, named
// "default".
type PolicySpec struct {
	// GoodputWeight is the weight of goodput. The weights need not add up to
	// one.
	GoodputWeight float64 `json:"goodput_weight"`
	// FairnessWeight is the weight of the service to the worst-served workspace.
	FairnessWeight float64 `json:"fairness_weight"`
	// CostWeight is the weight of endpoint cost.
	CostWeight float64 `json:"cost_weight"`
	// RoleFloor is the minimum number of engines per role and failure domain.
	RoleFloor int `json:"role_floor"`
	// HeadroomDomains is the number of failure domains that may be lost without
	// overload.
	HeadroomDomains int `json:"headroom_domains"`
}
