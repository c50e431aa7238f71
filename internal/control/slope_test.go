package control

import (
	"context"
	"fmt"
	"testing"

	"github.com/acacialink/acacialink/internal/rpc/wire"
	"github.com/acacialink/acacialink/internal/snapshot"
)

// instantAgents answer at once.
type instantAgents struct{}

func (instantAgents) Describe(_ context.Context, endpoint, _ string) (*wire.AgentState, error) {
	return &wire.AgentState{Endpoint: endpoint, Ready: true, Role: "mixed", Models: []string{"model-1"}}, nil
}

// BenchmarkSurvey measures a survey without the network: of one pool in one
// domain, of the sample of a pool, and of a whole pool at the target size.
func BenchmarkSurvey(b *testing.B) {
	for _, n := range []int{23, maxSample, 317} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			endpoints := make([]snapshot.Endpoint, n)
			for i := range endpoints {
				endpoints[i].Name = fmt.Sprint("engine-", i)
			}
			b.ReportAllocs()
			for b.Loop() {
				rolesOf(survey(b.Context(), instantAgents{}, endpoints))
			}
		})
	}
}
