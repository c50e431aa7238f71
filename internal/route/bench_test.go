package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{16, 300, 5700} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchmarkPick(b, n) })
	}
}

func benchmarkPick(b *testing.B, n int) {
	now := time.Unix(1000, 0)
	rnd := rand.New(rand.NewPCG(1, 2))
	s := NewSet()
	for i := range n {
		s.Put(Candidate{
			Name: fmt.Sprint("e", i), Domain: fmt.Sprint("d", i%14), Ready: true, Models: []string{"m"},
			Report: LoadReport{MeasuredAt: now, Running: rnd.IntN(20), FreeKVBlocks: 100, TotalKVBlocks: 200},
		})
	}
	p := newTestCostPolicy()
	req := testRequest()
	for i := range uint64(8) {
		req.Prefix = append(req.Prefix, i)
		p.PrefixCache.RecordDispatch(now, fmt.Sprint("e", i), req.Prefix)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := p.Pick(now, req, s); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkRouterFlight(b *testing.B) {
	r := NewRouter(newTestCostPolicy())
	now := time.Unix(1000, 0)
	for i := range 300 {
		r.Observe(now, testState(fmt.Sprint("e", i)))
	}
	req := testRequest()
	b.ReportAllocs()
	for b.Loop() {
		f, err := r.Pick(now, req)
		if err != nil {
			b.Fatal(err)
		}
		f.PrefillDone()
		f.Done(0)
	}
}

func BenchmarkRouterObserve(b *testing.B) {
	r := NewRouter(newTestCostPolicy())
	now := time.Unix(1000, 0)
	st := testState("a")
	b.ReportAllocs()
	for b.Loop() {
		r.Observe(now, st)
	}
}

func BenchmarkSubset5700(b *testing.B) {
	targets := newTargets(5700)
	b.ReportAllocs()
	for b.Loop() {
		Subset("h1", "d1", targets, DefaultSubsetSize)
	}
}
