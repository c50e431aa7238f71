package control

import (
	"slices"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/role"
)

// roleEngines converts the states to the input of the role decider. Engines whose
// agent did not answer are omitted, since they serve no requests.
func roleEngines(engines []endpointState) []role.Engine {
	list := make([]role.Engine, 0, len(engines))
	for _, e := range engines {
		if e.state == nil {
			continue
		}
		list = append(list, role.Engine{
			Name:                e.Name,
			Incarnation:         e.state.Incarnation,
			Role:                backing.Role(e.state.Role),
			Ready:               e.state.Ready && e.state.OrderInFlight == "",
			Draining:            e.state.Draining || e.Spec.Draining,
			At:                  e.measuredAt,
			PromptTokens:        e.state.PrefilledTokens,
			OutputTokens:        e.state.GeneratedTokens,
			WaitingPromptTokens: e.state.WaitingPromptTokens,
			Running:             int(e.state.Running),
			Waiting:             int(e.state.Waiting),
		})
	}
	return list
}

// anyOrderInFlight reports whether an order is in flight at one of the engines.
func anyOrderInFlight(engines []endpointState) bool {
	return slices.ContainsFunc(engines, func(e endpointState) bool {
		return e.state != nil && e.state.OrderInFlight != ""
	})
}

// agentAddress returns the address of the named engine's agent, or an empty string
// if the engine is unknown.
func agentAddress(engines []endpointState, name string) string {
	for _, e := range engines {
		if e.Name == name {
			return e.Spec.Agent
		}
	}
	return ""
}
