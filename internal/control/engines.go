package control

import (
	"slices"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/role"
)

// rolesOf is the engines as the role decider sees them, without those whose
// agent does not answer: they serve nothing.
func rolesOf(engines []described) []role.Engine {
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
			At:                  e.at,
			PromptTokens:        e.state.PrefilledTokens,
			OutputTokens:        e.state.GeneratedTokens,
			WaitingPromptTokens: e.state.WaitingPromptTokens,
			Running:             int(e.state.Running),
			Waiting:             int(e.state.Waiting),
		})
	}
	return list
}

// anyBusy says whether an order is in flight at one of the engines.
func anyBusy(engines []described) bool {
	return slices.ContainsFunc(engines, func(e described) bool {
		return e.state != nil && e.state.OrderInFlight != ""
	})
}

func agentOf(engines []described, name string) string {
	for _, e := range engines {
		if e.Name == name {
			return e.Spec.Agent
		}
	}
	return ""
}
