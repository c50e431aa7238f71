package lease

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// slopeDomains and slopeCandidates are the failure domains of the target size
// and the hosts of each that may hold control work.
const (
	slopeDomains    = 14
	slopeCandidates = 3
)

func slopeHosts(n int) []Host {
	hosts := make([]Host, n)
	for i := range hosts {
		hosts[i] = Host{Name: fmt.Sprint("h", i), Domain: fmt.Sprint("d", i%slopeDomains)}
	}
	return hosts
}

func slopePieces(n int) []string {
	pieces := make([]string, n)
	for i := range pieces {
		pieces[i] = fmt.Sprint("p", i)
	}
	return pieces
}

// idleCalls returns the calls of leases, and all calls of the store, in a
// minute in which nothing changes.
func idleCalls(t *testing.T, hosts, pieces int) (leases, all int64) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newSite(0, slopePieces(pieces)...)
		ctx, cancel := context.WithCancel(t.Context())
		candidates := Candidates(slopeHosts(hosts), slopeCandidates)
		for i := range hosts {
			name := fmt.Sprint("h", i)
			d := NewDirectory(s.store.Client(name))
			go d.Run(ctx)
			s.add(name, flaws{})
			h := s.hosts[i]
			h.set.o.Pieces = func() []string { return append([]string{HostPiece(name)}, s.pieces...) }
			h.set.o.Preferred = func(piece string) (string, bool) { return d.Preferred(piece, candidates) }
		}
		for n := range 160 {
			s.tick(t.Context(), n)
		}
		leases = -s.calls()
		before := s.store.Counts()
		for n := range 240 {
			s.tick(t.Context(), n)
		}
		after := s.store.Counts()
		leases += s.calls()
		all = after.Reads() + after.Writes() - before.Reads() - before.Writes()
		cancel()
		time.Sleep(time.Minute)
		s.store.Close()
	})
	return leases, all
}

func TestStoreCallsFollowCandidatesAndNotPieces(t *testing.T) {
	is := is.New(t)
	for _, size := range []struct{ hosts, pieces int }{{25, 10}, {25, 100}, {50, 10}, {100, 10}} {
		leases, all := idleCalls(t, size.hosts, size.pieces)
		t.Logf("hosts=%d pieces=%d: lease calls/min=%d, all store calls/min=%d", size.hosts, size.pieces, leases, all)
		is.True(leases <= int64(31*min(size.hosts, slopeDomains*slopeCandidates)))
	}
}

// BenchmarkCandidates measures what a host does once a step.
func BenchmarkCandidates(b *testing.B) {
	for _, n := range []int{25, 50, 100, 200, 370} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			hosts := slopeHosts(n)
			b.ReportAllocs()
			for b.Loop() {
				Candidates(hosts, slopeCandidates)
			}
		})
	}
}

// BenchmarkPreferred measures what a host does once a step for each piece.
func BenchmarkPreferred(b *testing.B) {
	for _, n := range []int{25, 50, 100, 200, 370} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			candidates := Candidates(slopeHosts(n), slopeCandidates)
			d := NewDirectory(nil)
			d.known = true
			for _, h := range candidates {
				d.holders[HostPiece(h)] = Holder{Host: h}
			}
			b.ReportAllocs()
			for b.Loop() {
				d.Preferred("role/d1/pool-1", candidates)
			}
		})
	}
}
