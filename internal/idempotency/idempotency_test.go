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

// inVirtualTime runs a test in a synctest bubble with a new store.
func inVirtualTime(t *testing.T, test func(env *testEnv)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		test(&testEnv{I: is.New(t), ctx: context.Background(), store: kv.New(kv.Options{Seed: 1})})
	})
}

func (env *testEnv) host(name string, o Options) *Claims {
	return New(env.store.Client(name), o)
}

func (env *testEnv) send(context.Context) (Response, error) {
	env.runs++
	return Response{Status: 201, Header: map[string][]string{"X-Run": {fmt.Sprint(env.runs)}}, Body: []byte("done")}, nil
}

func testKey(key string) Key {
	return Key{Workspace: "w", Route: "/deposits", IdempotencyKey: key}
}

func TestRepeatReturnsRecordedResponseOnAnyHost(t *testing.T) {
	inVirtualTime(t, func(env *testEnv) {
		one, two := env.host("one", Options{}), env.host("two", Options{})
		first, replayed, err := one.Run(env.ctx, testKey("k"), BodyHash{1}, env.send)
		env.NoErr(err)
		env.True(!replayed)
		one.Close(env.ctx)
		again, replayed, err := two.Run(env.ctx, testKey("k"), BodyHash{1}, env.send)
		env.NoErr(err)
		env.True(replayed)
		env.Equal(again, first)
		_, _, err = two.Run(env.ctx, testKey("k"), BodyHash{2}, env.send)
		env.Equal(verdict.As(err).Status, 422)
		env.Equal(verdict.Of(err), verdict.NotRun)
		env.Equal(env.runs, 1)
		_, _, err = two.Run(env.ctx, Key{Workspace: "other", Route: "/deposits", IdempotencyKey: "k"}, BodyHash{2}, env.send)
		env.NoErr(err)
		env.Equal(env.runs, 2)
		two.Close(env.ctx)
	})
}

func TestStoreOutageRefusesRequestsWithKey(t *testing.T) {
	inVirtualTime(t, func(env *testEnv) {
		c := env.host("one", Options{})
		env.store.SetDown(true)
		_, _, err := c.Run(env.ctx, testKey("k"), BodyHash{}, env.send)
		env.Equal(verdict.Of(err), verdict.NotRun)
		env.Equal(verdict.As(err).Code, "claim_unavailable")
		env.Equal(env.runs, 0)
		_, _, err = c.Run(env.ctx, testKey(""), BodyHash{}, env.send)
		env.NoErr(err) // a request without a key needs no claim
		env.store.SetDown(false)
		_, _, err = c.Run(env.ctx, testKey("k"), BodyHash{}, env.send)
		env.NoErr(err)
		env.Equal(env.runs, 2)
		c.Close(env.ctx)
	})
}

// A claim that is written after its caller was refused must be abandoned, so that a
// repeat on any host can run.
func TestClaimWrittenAfterRefusalIsAbandoned(t *testing.T) {
	inVirtualTime(t, func(env *testEnv) {
		one, two := env.host("one", Options{}), env.host("two", Options{})
		env.store.Client("one").DelayWrites(1, 2*time.Second)
		go func() {
			time.Sleep(time.Second)
			env.store.Client("one").SetDown(true)
		}()
		ctx, cancel := context.WithTimeout(env.ctx, time.Second/2)
		defer cancel()
		_, _, err := one.Run(ctx, testKey("k"), BodyHash{}, env.send)
		env.Equal(verdict.Of(err), verdict.NotRun)
		time.Sleep(4 * time.Second)
		_, _, err = two.Run(env.ctx, testKey("k"), BodyHash{}, env.send)
		env.Equal(verdict.Of(err), verdict.MayHaveRun) // unknown while host one is cut off from the store
		env.store.Client("one").DelayWrites(0, 0)
		env.store.Client("one").SetDown(false)
		time.Sleep(5 * time.Second)
		_, _, err = two.Run(env.ctx, testKey("k"), BodyHash{}, env.send)
		env.NoErr(err)
		env.Equal(env.runs, 1)
		one.Close(env.ctx)
		two.Close(env.ctx)
	})
}

func TestRepeatAfterClaimingHostFailureMayHaveRun(t *testing.T) {
	inVirtualTime(t, func(env *testEnv) {
		one, two := env.host("one", Options{}), env.host("two", Options{})
		go func() {
			_, _, _ = one.Run(env.ctx, testKey("k"), BodyHash{}, func(context.Context) (Response, error) {
				env.store.Client("one").SetDown(true)
				time.Sleep(time.Hour)
				return Response{}, nil
			})
		}()
		time.Sleep(time.Second)
		start := time.Now()
		_, _, err := two.Run(env.ctx, testKey("k"), BodyHash{}, env.send)
		env.Equal(verdict.Of(err), verdict.MayHaveRun)
		env.True(time.Since(start) >= defaultRepeatTimeout)
		time.Sleep(3 * time.Minute)
		start = time.Now()
		_, _, err = two.Run(env.ctx, testKey("k"), BodyHash{}, env.send)
		env.Equal(verdict.Of(err), verdict.MayHaveRun)
		env.True(time.Since(start) < time.Second) // no wait, since the first request must have ended
		env.Equal(env.runs, 0)
		time.Sleep(time.Hour)
		one.stop()
		two.Close(env.ctx)
	})
}

func TestSealedPagesAreReadByNewHostAndExpire(t *testing.T) {
	inVirtualTime(t, func(env *testEnv) {
		o := Options{Shards: 1, MaxPageBytes: 4 << 10, Retention: time.Hour}
		one := env.host("one", o)
		for n := range 100 {
			_, _, err := one.Run(env.ctx, testKey(fmt.Sprint(n)), BodyHash{}, env.send)
			env.NoErr(err)
		}
		one.Close(env.ctx)
		two := env.host("two", o)
		for n := range 100 {
			r, replayed, err := two.Run(env.ctx, testKey(fmt.Sprint(n)), BodyHash{}, env.send)
			env.NoErr(err)
			env.True(replayed)
			env.Equal(r.Header["X-Run"][0], fmt.Sprint(n+1))
		}
		env.Equal(env.runs, 100)
		pages, _, err := env.store.List(env.ctx, "once/000/page/")
		env.NoErr(err)
		env.True(len(pages) > 5)
		time.Sleep(2 * time.Hour)
		_, replayed, err := two.Run(env.ctx, testKey("0"), BodyHash{}, env.send)
		env.NoErr(err)
		env.True(!replayed)
		time.Sleep(2 * time.Hour)
		pages, _, err = env.store.List(env.ctx, "once/000/page/")
		env.NoErr(err)
		env.True(len(pages) <= 1)
		two.Close(env.ctx)
	})
}

// Sealing must continue with a new lease after the page lease has been revoked.
func TestSealingContinuesAfterPageLeaseLoss(t *testing.T) {
	inVirtualTime(t, func(env *testEnv) {
		c := env.host("one", Options{Shards: 1, MaxPageBytes: 4 << 10})
		for n := range 60 {
			if n == 30 {
				env.NoErr(env.store.Revoke(env.ctx, 1))
			}
			_, _, err := c.Run(env.ctx, testKey(fmt.Sprint(n)), BodyHash{}, env.send)
			env.NoErr(err)
		}
		env.Equal(env.runs, 60)
		c.Close(env.ctx)
	})
}

// raceRuns sends a request to two hosts at the same time, while the store loses
// the answer to every write, and returns how often the request runs.
func raceRuns(t *testing.T, injected faultInjection) (runs int) {
	t.Helper()
	inVirtualTime(t, func(env *testEnv) {
		env.store.SetDelay(4 * time.Millisecond) // both hosts read before either writes
		env.store.LoseAnswers(1)
		var mu sync.Mutex
		var wg sync.WaitGroup
		for _, name := range []string{"one", "two"} {
			c := env.host(name, Options{})
			c.faults = injected
			wg.Go(func() {
				_, _, _ = c.Run(env.ctx, testKey("k"), BodyHash{}, func(ctx context.Context) (Response, error) {
					mu.Lock()
					defer mu.Unlock()
					return env.send(ctx)
				})
				c.Close(env.ctx)
			})
		}
		wg.Wait()
		runs = env.runs
	})
	return runs
}

func TestConcurrentRequestsWithLostStoreAnswersRunOnce(t *testing.T) {
	is := is.New(t)
	is.Equal(raceRuns(t, faultInjection{}), 1)
	is.Equal(raceRuns(t, faultInjection{assumeWritten: true}), 2) // the check detects the injected fault
}

// measureLoad sends rate requests per second to each host for two seconds, with a
// store latency of 4 ms per call. It returns claims, store writes and store reads
// per second, and the duration of the slowest claim.
func measureLoad(t *testing.T, hosts, rate, shards int) (claims, writes, reads float64, slowest time.Duration) {
	const seconds = 2
	var mu sync.Mutex // guards slowest
	inVirtualTime(t, func(env *testEnv) {
		env.store.SetDelay(4 * time.Millisecond)
		claimants := make([]*Claims, hosts)
		for h := range claimants {
			claimants[h] = env.host(fmt.Sprint(h), Options{Shards: shards})
			for n := range rate * seconds {
				go func() {
					time.Sleep(time.Duration(n)*time.Second/time.Duration(rate) + time.Duration(h)*37*time.Microsecond)
					start := time.Now()
					_, _, err := claimants[h].Run(env.ctx, testKey(fmt.Sprint(h, "-", n)), BodyHash{}, func(context.Context) (Response, error) {
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
			c.Close(env.ctx)
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
			t.Errorf("%.2f writes per claim", writes/claims)
		}
	}
}
