package suspect

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/acacialink/acacialink/internal/endpoint"
)

// BenchmarkCheck measures the decision on one request while some segments are held.
func BenchmarkCheck(b *testing.B) {
	l := newLedger("a", day)
	for i, e := range []string{"e1", "e2", "e3"} {
		l.crash(float64(i+1), e, []uint64{2})
	}
	segments := []uint64{1, 10, 11, 12}
	for b.Loop() {
		l.Check(day, "llm", segments, false)
	}
}

// BenchmarkAnswered measures what an answered request costs.
func BenchmarkAnswered(b *testing.B) {
	l := newLedger("a", day)
	segments := []uint64{1, 10, 11, 12}
	for n := 0; b.Loop(); n++ {
		segments[3] = uint64(n) //nolint:gosec // not negative
		l.Answered(day, endpoint.Key{ID: "e9"}, "llm", segments, day)
	}
}

// BenchmarkJudge measures a review of the evidence after 64 engines crashed under 8
// requests of 4 segments each.
func BenchmarkJudge(b *testing.B) {
	l := newLedger("a", day)
	rng := rand.New(rand.NewPCG(1, 1)) //nolint:gosec // a fixed seed
	for n := range 64 {
		key := endpoint.Key{ID: "e", StartedAtMS: int64(n)}
		for range 8 {
			l.Lost(second(float64(n)), key, "llm", []uint64{1, uint64(rng.IntN(40)), uint64(rng.IntN(400)), uint64(rng.IntN(4000))}, time.Time{}) //nolint:gosec // not negative
		}
		l.Crashed(second(float64(n)), key)
	}
	for b.Loop() {
		l.Judge(second(70))
	}
}
