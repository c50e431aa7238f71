package quota

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/verdict"
)

func newSingleHostLimiter(l Limit) *Limiter {
	return New(Config{
		Settings: DefaultSettings(), Host: "h", Incarnation: "1",
		Limits: func(string) (Limit, bool) { return l, true },
		Base:   SingleHost{Host: "h"}, Surplus: SingleHost{Host: "h"},
	})
}

func TestLimiterEnforcesRateAndBurstOnSingleHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		limit := Limit{Rate: 100, Burst: 1000}
		l := newSingleHostLimiter(limit)
		ctx := t.Context()
		go func() { _ = l.Run(ctx) }()
		_, err := l.Reserve(ctx, "w", 100, 1000, 1001)
		is.Equal(verdict.As(err).Status, 413)
		r, err := l.Reserve(ctx, "w", 100, 1000, 1000)
		is.NoErr(err)
		_, err = l.Reserve(ctx, "w", 100, 1000, 100)
		is.Equal(verdict.Of(err), verdict.NotRun)
		is.Equal(verdict.As(err).Status, 429)
		is.True(verdict.As(err).RetryAfter > 0)
		is.NoErr(r.Start(ctx))
		r.Settle(400)
		r.Settle(0) // no effect
		second, err := l.Reserve(ctx, "w", 100, 1000, 600)
		is.NoErr(err)
		_, err = l.Reserve(ctx, "w", 100, 1000, 50)
		is.True(err != nil)
		second.Settle(600)
		time.Sleep(10 * time.Second)
		_, err = l.Reserve(ctx, "w", 100, 1000, 700)
		is.NoErr(err)
		_, err = l.Reserve(ctx, "w", 100, 1000, 301)
		is.True(err != nil)
	})
}

func TestLimiterDropsStateOfIdleWorkspaces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newSingleHostLimiter(Limit{Rate: 1000, Burst: 1000})
		go func() { _ = l.Run(t.Context()) }()
		for i := range 500 {
			r, err := l.Reserve(t.Context(), string(rune('a'+i)), 1000, 1000, 500)
			is.NoErr(err)
			r.Settle(400)
		}
		is.Equal(l.Stats().Buckets, 500)
		is.Equal(l.Stats().Workspaces, 500)
		time.Sleep(2 * usageRatioTTL)
		is.Equal(l.Stats(), Stats{})
	})
}

func TestAuditReportsExcess(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	limits := map[string]Limit{"w": {Rate: 10, Burst: 100}}
	log := []Consumption{
		{At: start.Add(time.Second), Workspace: "w", Tokens: 10},
		{At: start, Workspace: "w", Tokens: 100},
	}
	is.Equal(len(Audit(limits, log)), 0)
	log = append(log, Consumption{At: start.Add(time.Second), Workspace: "w", Tokens: 1})
	found := Audit(limits, log)
	is.Equal(len(found), 1)
	is.Equal(found[0].Over, int64(1))
	log[1].Tokens = 101
	is.Equal(Audit(limits, log)[0].Over, int64(1))
}
