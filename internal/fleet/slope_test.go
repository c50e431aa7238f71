package fleet

import (
	"context"
	"fmt"
	"testing"

	"github.com/acacialink/acacialink/internal/resource"
	"github.com/acacialink/acacialink/internal/route"
	"github.com/acacialink/acacialink/internal/rpc"
)

// BenchmarkReconcile measures a Reconcile call for an unchanged configuration.
func BenchmarkReconcile(b *testing.B) {
	for _, n := range []int{300, 1000, 5700} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			f := New(Options{
				Host: "h1", Domain: "d1", Stats: &rpc.Stats{},
				Dialer: func(string) *rpc.Dialer { return rpc.NewDialer(nil, rpc.Options{}) },
				Router: route.NewRouter(&route.RoundRobin{}),
				Subset: route.DefaultSubsetSize,
			})
			endpoints := make([]Endpoint, n)
			for i := range endpoints {
				spec := resource.EndpointSpec{Domain: fmt.Sprint("d", i%14), Agent: "127.0.0.1:1", Models: []string{fmt.Sprint("model-", i%18)}}
				endpoints[i] = Endpoint{Name: fmt.Sprint("engine-", i), Spec: spec}
			}
			canceled, cancel := context.WithCancel(b.Context())
			cancel()
			f.Reconcile(canceled, endpoints, nil)
			b.ReportAllocs()
			for b.Loop() {
				f.Reconcile(canceled, endpoints, nil)
			}
			b.ReportMetric(float64(len(f.links)), "sessions")
			f.Wait()
		})
	}
}
