package idempotency

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/standin/kv"
	"github.com/acacialink/acacialink/internal/verdict"
)

type testEnv struct {
	*is.I
	ctx   context.Context
	store *kv.Store
	runs  int
}

// inBubble runs a test in virtual time with a new store.
func inVirtualTime(t *testing.T, test func(b *testEnv)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		test(&testEnv{I: is.New(t), ctx: context.Background(), store: kv.New(kv.Options{Seed: 1})})
	})
}

func (b *testEnv) host(name string, o Options) *Claims {
	return New(b.store.Client(name), o)
}

func (b *testEnv) send(context.Context) (Response, error) {
	b.runs++
	return Response{Status: 201, Header: map[string][]string{"X-Run": {fmt.Sprint(b.runs)}}, Body: []byte("done")}, nil
}

func testKey(key string) Key {
	return Key{Workspace: "w", Route: "/deposits", IdempotencyKey: key}
}

func TestRepeatReturnsRecordedResponseOnAnyHost(t *testing.T) {
	inVirtualTime(t, func(b *testEnv) {
		one, two := b.host("one", Options{}), b.host("two", Options{})
		first, replayed, err := one.Run(b.ctx, testKey("k"), BodyHash{1}, b.send)
		b.NoErr(err)
		b.True(!replayed)
		one.Close(b.ctx)
		again, replayed, err := two.Run(b.ctx, testKey("k"), BodyHash{1}, b.send)
		b.NoErr(err)
		b.True(replayed)
		b.Equal(again, first)
		_, _, err = two.Run(b.ctx, testKey("k"), BodyHash{2}, b.send)
		b.Equal(verdict.As(err).Status, 422)
		b.Equal(verdict.Of(err), verdict.NotRun)
		b.Equal(b.runs, 1)
		_, _, err = two.Run(b.ctx, Key{Workspace: "other", Route: "/deposits", IdempotencyKey: "k"}, BodyHash{2}, b.send)
		b.NoErr(err)
		b.Equal(b.runs, 2)
		two.Close(b.ctx)
	})
}

func TestStoreOutageRefusesRequestsWithKey(t *testing.T) {
	inVirtualTime(t, func(b *testEnv) {
		c := b.host("one", Options{})
		b.store.SetDown(true)
		_, _, err := c.Run(b.ctx, testKey("k"), BodyHash{}, b.send)
		b.Equal(verdict.Of(err), verdict.NotRun)
		b.Equal(verdict.As(err).Code, "claim_unavailable")
		b.Equal(b.runs, 0)
		_, _, err = c.Run(b.ctx, testKey(""), BodyHash{}, b.send)
		b.NoErr(err) // a request without a key needs no claim
		b.store.SetDown(false)
		_, _, err = c.Run(b.ctx, testKey("k"), BodyHash{}, b.send)
		b.NoErr(err)
		b.Equal(b.runs, 2)
		c.Close(b.ctx)
	})
}

// A claim that is written after its caller was refused must be abandoned, so that a
// repeat on any host can run.
func TestClaimWrittenAfterRefusalIsAbandoned(t *testing.T) {
	inVirtualTime(t, func(b *testEnv) {
		one, two := b.host("one", Options{}), b.host("two", Options{})
		b.store.Client("one").DelayWrites(1, 2*time.Second)
		go func() {
			time.Sleep(time.Second)
			b.store.Client("one").SetDown(true)
		}()
		ctx, cancel := context.WithTimeout(b.ctx, time.Second/2)
		defer cancel()
		_, _, err := one.Run(ctx, testKey("k"), BodyHash{}, b.send)
		b.Equal(verdict.Of(err), verdict.NotRun)
		time.Sleep(4 * time.Second)
		_, _, err = two.Run(b.ctx, testKey("k"), BodyHash{}, b.send)
		b.Equal(verdict.Of(err), verdict.MayHaveRun) // unknown while host one is cut off from the store
		b.store.Client("one").DelayWrites(0, 0)
		b.store.Client("one").SetDown(false)
		time.Sleep(5 * time.Second)
		_, _, err = two.Run(b.ctx, testKey("k"), BodyHash{}, b.send)
		b.NoErr(err)
		b.Equal(b.runs, 1)
		one.Close(b.ctx)
		two.Close(b.ctx)
	})
}

func TestRepeatAfterClaimingHostFailureMayHaveRun(t *testing.T) {
	inVirtualTime(t, func(b *testEnv) {
		one, two := b.host("one", Options{}), b.host("two", Options{})
		go func() {
			_, _, _ = one.Run(b.ctx, testKey("k"), BodyHash{}, func(context.Context) (Response, error) {
				b.store.Client("one").SetDown(true)
				time.Sleep(time.Hour)
				return Response{}, nil
			})
		}()
		time.Sleep(time.Second)
		start := time.Now()
		_, _, err := two.Run(b.ctx, testKey("k"), BodyHash{}, b.send)
		b.Equal(verdict.Of(err), verdict.MayHaveRun)
		b.True(time.Since(start) >= defaultRepeatTimeout)
		time.Sleep(3 * time.Minute)
		start = time.Now()
		_, _, err = two.Run(b.ctx, testKey("k"), BodyHash{}, b.send)
		b.Equal(verdict.Of(err), verdict.MayHaveRun)
		b.True(time.Since(start) < time.Second) // no wait, since the first request must have ended
		b.Equal(b.runs, 0)
		time.Sleep(time.Hour)
		one.stop()
		two.Close(b.ctx)
	})
}

func TestSealedPagesAreReadByNewHostAndExpire(t *testing.T) {
	inVirtualTime(t, func(b *testEnv) {
		o := Options{Shards: 1, MaxPageBytes: 4 << 10, Retention: time.Hour}
		one := b.host("one", o)
		for n := range 100 {
			_, _, err := one.Run(b.ctx, testKey(fmt.Sprint(n)), BodyHash{}, b.send)
			b.NoErr(err)
		}
		one.Close(b.ctx)
		two := b.host("two", o)
		for n := range 100 {
			r, replayed, err := two.Run(b.ctx, testKey(fmt.Sprint(n)), BodyHash{}, b.send)
			b.NoErr(err)
			b.True(replayed)
			b.Equal(r.Header["X-Run"][0], fmt.Sprint(n+1))
		}
		b.Equal(b.runs, 100)
		pages, _, err := b.store.List(b.ctx, "once/000/page/")
		b.NoErr(err)
		b.True(len(pages) > 5)
		time.Sleep(2 * time.Hour)
		_, replayed, err := two.Run(b.ctx, testKey("0"), BodyHash{}, b.send)
		b.NoErr(err)
		b.True(!replayed)
		time.Sleep(2 * time.Hour)
		pages, _, err = b.store.List(b.ctx, "once/000/page/")
		b.NoErr(err)
		b.True(len(pages) <= 1)
		two.Close(b.ctx)
	})
}

// Sealing must continue with a new lease after the store has dropped the page lease.
func TestSealingContinuesAfterPageLeaseLoss(t *testing.T) {
	inVirtualTime(t, func(b *testEnv) {
		c := b.host("one", Options{Shards: 1, MaxPageBytes: 4 << 10})
		for n := range 60 {
			if n == 30 {
				b.NoErr(b.store.Revoke(b.ctx, 1))
			}
			_, _, err := c.Run(b.ctx, testKey(fmt.Sprint(n)), BodyHash{}, b.send)
			b.NoErr(err)
		}
		b.Equal(b.runs, 60)
		c.Close(b.ctx)
	})
}

// raceRuns returns how often a request runs that two hosts receive at the same time
// while the store loses the answer to every write.
func raceRuns(t *testing.T, injected faultInjection) (runs int) {
	t.Helper()
	inVirtualTime(t, func(b *testEnv) {
		b.store.SetDelay(4 * time.Millisecond) // both hosts read before either writes
		b.store.LoseAnswers(1)
		var mu sync.Mutex
		var wg sync.WaitGroup
		for _, name := range []string{"one", "two"} {
			c := b.host(name, Options{})
			c.faults = injected
			wg.Go(func() {
				_, _, _ = c.Run(b.ctx, testKey("k"), BodyHash{}, func(ctx context.Context) (Response, error) {
					mu.Lock()
					defer mu.Unlock()
					return b.send(ctx)
				})
				c.Close(b.ctx)
			})
		}
		wg.Wait()
		runs = b.runs
	})
	return runs
}

func TestConcurrentRequestsWithLostStoreAnswersRunOnce(t *testing.T) {
	is := is.New(t)
	is.Equal(raceRuns(t, faultInjection{}), 1)
	is.Equal(raceRuns(t, faultInjection{assumeWritten: true}), 2) // the check detects the injected fault
}

// load sends rate requests per second to each host for two seconds, with a store
// latency of 4 ms per call. It returns claims, store writes and store reads per
// second, and the slowest claim.
func measureLoad(t *testing.T, hosts, rate, shards int) (claims, writes, reads float64, slowest time.Duration) {
	const seconds = 2
	var mu sync.Mutex // guards slowest
	inVirtualTime(t, func(b *testEnv) {
		b.store.SetDelay(4 * time.Millisecond)
		claimants := make([]*Claims, hosts)
		for h := range claimants {
			claimants[h] = b.host(fmt.Sprint(h), Options{Shards: shards})
			for n := range rate * seconds {
				go func() {
					time.Sleep(time.Duration(n)*time.Second/time.Duration(rate) + time.Duration(h)*37*time.Microsecond)
					start := time.Now()
					_, _, err := claimants[h].Run(b.ctx, testKey(fmt.Sprint(h, "-", n)), BodyHash{}, func(context.Context) (Response, error) {
						mu.Lock()
						defer mu.Unlock()
						slowest = max(slowest, time.Since(start))
						return Response{Status: 200, Body: []byte("receipt")}, nil
					})
					if err != nil {
						t.Error(err)
					}
				}()
			}
		}
		time.Sleep((seconds + 1) * time.Second)
		for _, c := range claimants {
			c.Close(b.ctx)
			claims += float64(c.stats.Claims.Load()) / seconds
			writes += float64(c.stats.Writes.Load()) / seconds
			reads += float64(c.stats.Reads.Load()) / seconds
		}
	})
	return claims, writes, reads, slowest
}

// Claims of one host share writes; hosts that share shards conflict.
func TestStoreWritesForClaims(t *testing.T) {
	for _, c := range []struct {
		hosts, rate, shards int
		// maxWrites is the largest permitted number of writes per claim.
		maxWrites float64
	}{
		{1, 100, 4, 1.2},
		{1, 1000, 4, 0.3},
		{4, 25, 4, 3},
		{16, 25, 16, 4},
		{16, 25, 256, 2.5},
	} {
		claims, writes, reads, slowest := measureLoad(t, c.hosts, c.rate, c.shards)
		t.Logf("%3d hosts, %2d shards: %5.0f claims/s, %5.0f writes/s, %5.0f reads/s, slowest claim %v",
			c.hosts, c.shards, claims, writes, reads, slowest)
		if writes > c.maxWrites*claims {
			t.Errorf("%.2f writes a claim", writes/claims)
		}
	}
}
