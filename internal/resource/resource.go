// Package resource defines the resources that operators declare: workspaces,
// keys, models, failure domains, pools, endpoints, routes and the policy of the
// deployment. Each has a spec written by operators and a status reported by the
// system.
package resource

import (
	"encoding/json"
	"time"
)

// Revision is the revision of the whole configuration. It never decreases.
type Revision int64

// Kind is a kind of resource.
type Kind string

// Kinds of resources.
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

// Kinds returns all kinds in an order in which resources can be created without
// unresolved references between kinds.
func Kinds() []Kind {
	return []Kind{KindDomain, KindModel, KindWorkspace, KindKey, KindPool, KindEndpoint, KindRoute, KindPolicy}
}

// Resource is one declared resource in the form used by the operators' API and
// the configuration.
type Resource struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Generation is the number of changes to the spec.
	Generation int64 `json:"generation,omitempty"`
	// Revision is the configuration revision of the last change.
	Revision Revision `json:"revision,omitempty"`
	// Spec is one of the …Spec types of this package, as JSON.
	Spec json.RawMessage `json:"spec"`
	// Status is set by the API and never stored.
	Status *Status `json:"status,omitempty"`
}

// Status is the observed state of a resource.
type Status struct {
	// ObservedGeneration is the generation that the conditions refer to.
	ObservedGeneration int64       `json:"observed_generation"`
	Conditions         []Condition `json:"conditions"`
}

// Condition is one observed condition of a resource.
type Condition struct {
	// Type is the type of the condition, such as "InForce".
	Type   string `json:"type"`
	Status bool   `json:"status"`
	// Reason is a stable identifier of the cause.
	Reason string `json:"reason,omitempty"`
	// Message describes what the condition waits for.
	Message string    `json:"message,omitempty"`
	Since   time.Time `json:"since"`
}

// ConditionInForce is the type of the condition that is true once every live
// entry host either uses the generation or can no longer confirm that its
// configuration is current.
const ConditionInForce = "InForce"
