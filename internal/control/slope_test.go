package control

import (
	"context"
	"fmt"
	"testing"

	"github.com/acacialink/acacialink/internal/rpc/wire"
	"github.com/acacialink/acacialink/internal/snapshot"
)

// fakeAgents returns a fixed state without delay.
type fakeAgents struct{}

func (fakeAgents) Describe(_ context.Context, endpoint, _ string) (*wire.AgentState, error) {
	return &wire.AgentState{Endpoint: endpoint, Ready: true, Role: "mixed", Models: []string{"model-1"}}, nil
}

// BenchmarkDescribeAll measures one round of agent queries without the network: for
// one pool in one domain, for the sample of a pool, and for a whole pool of the
// target size.
func BenchmarkDescribeAll(b *testing.B) {
	for _, n := range []int{23, maxSampledAgents, 317} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			endpoints := make([]snapshot.Endpoint, n)
			for i := range endpoints {
				endpoints[i].Name = fmt.Sprint("engine-", i)
			}
			b.ReportAllocs()
			for b.Loop() {
				roleEngines(describeAll(b.Context(), fakeAgents{}, endpoints))
			}
		})
	}
}
