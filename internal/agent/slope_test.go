package agent

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// nopEngine is a non-nil Engine whose methods are never called.
type nopEngine struct{ backing.Engine }

// BenchmarkState measures the state message that an engine's agent sends with
// each heartbeat of each session: its encoded size in bytes and the time to
// build, encode and decode it.
func BenchmarkState(b *testing.B) {
	for _, n := range []int{0, 16, DefaultCacheEvents} {
		b.Run(fmt.Sprintf("events=%d", n), func(b *testing.B) {
			a := New(Options{Endpoint: "engine-1234", Domain: "domain-12", Incarnation: "0123456789abcdef", Engine: nopEngine{}})
			events := make([]backing.CacheEvent, n)
			for i := range events {
				events[i] = backing.CacheEvent{Sequence: uint64(1_000_000 + i), Prefix: uint64(i+1) * 0x9e3779b97f4a7c15}
			}
			a.storeReport(backing.EngineLoad{
				Ready: true, Role: "mixed", Models: []string{"model-12"}, Adapters: []string{"model-12/adapter-1"},
				Running: 32, Waiting: 4, WaitingPromptTokens: 20_000, FreeBlocks: 300, TotalBlocks: 1000,
			}, events)
			b.ReportAllocs()
			var size int
			for b.Loop() {
				body, err := proto.Marshal(&wire.AgentFrame{State: a.State(0)})
				if err != nil {
					b.Fatal(err)
				}
				size = len(body)
				if err := proto.Unmarshal(body, &wire.AgentFrame{}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(size), "state-B")
		})
	}
}
