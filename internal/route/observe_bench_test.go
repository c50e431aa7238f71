package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// BenchmarkRouterObserveEvents measures Router.Observe for a state whose cache
// events have all been applied before.
func BenchmarkRouterObserveEvents(b *testing.B) {
	for _, n := range []int{0, 16, 256} {
		b.Run(fmt.Sprintf("events=%d", n), func(b *testing.B) {
			r := NewRouter(newTestCostPolicy())
			now := time.Unix(1000, 0)
			state := testState("a")
			for i := range n {
				state.CacheEvents = append(state.CacheEvents, &wire.CacheEvent{Sequence: uint64(i + 1), Prefix: uint64(i+1) * 0x9e3779b97f4a7c15})
			}
			b.ReportAllocs()
			for b.Loop() {
				r.Observe(now, state)
			}
		})
	}
}
