package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/acacialink/acacialink/internal/rpc/wire"
)

func newBenchmarkOwner() *Owner {
	s := DefaultSettings()
	limits := func(string) (Limit, bool) { return Limit{Rate: 1e6, Burst: 1e9}, true }
	return NewOwner(&s, limits, SingleHost{Host: "h"}, SingleHost{Host: "h"})
}

// BenchmarkOwnerHandle measures one request of a holder, by the number of
// holders with an account in the workspace's bucket.
func BenchmarkOwnerHandle(b *testing.B) {
	for _, n := range []int{1, 16, 370} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			o := newBenchmarkOwner()
			now := time.Unix(1000, 0)
			requests := make([]*wire.QuotaRequest, n)
			holders := make([]string, n)
			for i := range requests {
				holders[i] = fmt.Sprint("h", i)
				requests[i] = &wire.QuotaRequest{Workspace: "w", Fence: 1, Account: 1, WantTokens: 1}
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				now = now.Add(time.Microsecond)
				i = (i + 1) % n
				g := o.Handle(now, holders[i], requests[i])
				requests[i].ReceivedTokens, requests[i].SpentTokens = g.GetGrantedTokens(), g.GetGrantedTokens()
			}
		})
	}
}

// BenchmarkReserveSettle measures a request that the host's balance covers.
func BenchmarkReserveSettle(b *testing.B) {
	l := newSingleHostLimiter(Limit{Rate: 1e9, Burst: 4e9})
	first, err := l.Reserve(b.Context(), "w", 1e9, 4e9, 2e9)
	if err != nil {
		b.Fatal(err)
	}
	first.Settle(0)
	b.ReportAllocs()
	for b.Loop() {
		r, err := l.Reserve(b.Context(), "w", 1e9, 4e9, 500)
		if err != nil {
			b.Fatal(err)
		}
		r.Settle(300)
	}
}

// BenchmarkReserveCold measures the first request of a workspace at a host,
// including an exchange within the same process.
func BenchmarkReserveCold(b *testing.B) {
	l := newSingleHostLimiter(Limit{Rate: 1000, Burst: 4000})
	names := make([]string, 28000)
	for i := range names {
		names[i] = fmt.Sprint("workspace", i)
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i = (i + 1) % len(names)
		if r, err := l.Reserve(b.Context(), names[i], 1000, 4000, 100); err == nil {
			r.Settle(60)
		}
	}
}

// BenchmarkFlush measures a scan of 1,000 active workspaces of a host.
func BenchmarkFlush(b *testing.B) {
	l := newSingleHostLimiter(Limit{Rate: 1000, Burst: 4000})
	for i := range 1000 {
		if _, err := l.Reserve(b.Context(), fmt.Sprint("w", i), 1000, 4000, 500); err != nil {
			b.Fatal(err)
		}
	}
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		l.holder.DueReports(now)
	}
}

// BenchmarkSweep measures a scan of 1,000 buckets of an owner.
func BenchmarkSweep(b *testing.B) {
	o := newBenchmarkOwner()
	now := time.Unix(1000, 0)
	for i := range 1000 {
		o.Handle(now, "h", &wire.QuotaRequest{Workspace: fmt.Sprint("w", i), Fence: 1, Account: 1, WantTokens: 1})
	}
	b.ReportAllocs()
	for b.Loop() {
		o.Sweep(now)
	}
}
