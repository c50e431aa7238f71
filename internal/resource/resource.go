// Package resource defines what operators declare: workspaces, keys, models,
// failure domains, pools, endpoints, routes and the deployment's policy, each
// with a spec that they write and a status that the system reports.
package resource

import (
	"encoding/json"
	"time"
)

// Revision is a revision of the whole configuration. It only grows.
type Revision int64

// Kind names a kind of resource.
type Kind string

// The kinds of resources.
const (
	KindWorkspace Kind = "workspace"
	KindKey       Kind = "key"
	KindModel     Kind = "model"
	KindDomain    Kind = "domain"
	KindPool      Kind = "pool"
	KindEndpoint  Kind = "endpoint"
	KindRoute     Kind = "route"
	KindPolicy    Kind = "policy"
)

// Kinds lists all kinds in the order in which references allow them to be created.
func Kinds() []Kind {
	return []Kind{KindDomain, KindModel, KindWorkspace, KindKey, KindPool, KindEndpoint, KindRoute, KindPolicy}
}

// Resource is one declared thing, as the operators' API and the configuration hold it.
type Resource struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Generation counts changes of the spec.
	Generation int64 `json:"generation,omitempty"`
	// Revision is the configuration revision of the last change.
	Revision Revision `json:"revision,omitempty"`
	// Spec is one of the …Spec types of this package, as JSON.
	Spec json.RawMessage `json:"spec"`
	// Status is filled by the API and never stored.
	Status *Status `json:"status,omitempty"`
}

// Status is the observed state of a resource.
type Status struct {
	// ObservedGeneration is the generation that the conditions speak of.
	ObservedGeneration int64       `json:"observed_generation"`
	Conditions         []Condition `json:"conditions"`
}

// Condition is one statement about a resource.
type Condition struct {
	// Type is for example "InForce".
	Type   string `json:"type"`
	Status bool   `json:"status"`
	// Reason is a stable name; Message says what is waited for.
	Reason  string    `json:"reason,omitempty"`
	Message string    `json:"message,omitempty"`
	Since   time.Time `json:"since"`
}

// ConditionInForce is true once every live entry host uses the generation or
// has lost its freshness.
const ConditionInForce = "InForce"
