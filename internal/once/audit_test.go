package once

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/acacialink/acacialink/internal/standin/kv"
	"github.com/acacialink/acacialink/internal/verdict"
)

// audit plays a plan and collects what broke a promise. The service counts
// its runs itself.
type audit struct {
	mu         sync.Mutex
	store      *kv.Store
	hosts      []*Claims
	clients    []*kv.Client
	runs       map[int]int
	answers    map[int]string
	tally      map[string]int
	violations []string
}

func play(t *testing.T, p plan, broken brokenVariant) *audit {
	t.Helper()
	a := &audit{runs: map[int]int{}, answers: map[int]string{}, tally: map[string]int{}}
	synctest.Test(t, func(*testing.T) {
		a.store = kv.New(kv.Options{Seed: 1})
		for n := range planHosts {
			a.clients = append(a.clients, a.store.Client(fmt.Sprint("host", n)))
			a.hosts = append(a.hosts, a.newHost(n, broken))
		}
		var wg sync.WaitGroup
		for _, f := range p.faults {
			wg.Go(func() { a.inject(f, broken) })
		}
		for n, r := range p.requests {
			wg.Go(func() { a.request(n, r) })
		}
		wg.Wait()
		for _, h := range a.hosts {
			h.Close(context.Background())
		}
	})
	return a
}

func (a *audit) newHost(n int, broken brokenVariant) *Claims {
	c := New(a.clients[n], Options{
		Shards:       2,
		SealBytes:    2 << 10,
		StoreTimeout: 200 * time.Millisecond,
		ClaimWait:    600 * time.Millisecond,
		SendLimit:    2 * time.Second,
		RepeatWait:   time.Second,
	})
	c.broken = broken
	return c
}

func (a *audit) inject(f plannedFault, broken brokenVariant) {
	time.Sleep(f.at)
	set := func(on bool) {
		rate := 0.0
		if on {
			rate = 0.3
		}
		switch f.kind {
		case faultDown:
			a.store.SetDown(on)
		case faultSilent:
			a.clients[f.host].SetSilent(on)
		case faultLose:
			a.store.LoseAnswers(rate)
		case faultLate:
			a.store.DelayWrites(rate, 300*time.Millisecond)
		case faultCutHost:
			a.clients[f.host].SetDown(on)
		}
	}
	if f.kind == faultCrash {
		a.crash(f.host, broken)
		return
	}
	set(true)
	time.Sleep(f.lasts)
	set(false)
}

// crash replaces a host by one that knows nothing. Requests that the old one
// has sent go on at the service; nothing more of it reaches the store.
func (a *audit) crash(n int, broken brokenVariant) {
	fresh := a.newHost(n, broken)
	a.mu.Lock()
	old := a.hosts[n]
	a.hosts[n] = fresh
	a.mu.Unlock()
	old.stop()
}

func (a *audit) request(n int, r plannedRequest) {
	time.Sleep(r.at)
	a.mu.Lock()
	host := a.hosts[r.host]
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), r.patience)
	defer cancel()
	ran := false
	key := Key{Workspace: "w", Route: "/deposits", IdempotencyKey: fmt.Sprint(r.key)}
	response, _, err := host.Run(ctx, key, BodyHash{}, func(context.Context) (Response, error) {
		time.Sleep(r.lasts / 2)
		if r.outcome == isRefused {
			return Response{}, verdict.New(verdict.NotRun, 503, "busy", "not started")
		}
		if r.outcome == isCutBefore {
			return Response{}, verdict.New(verdict.MayHaveRun, 502, "cut", "connection lost")
		}
		ran = true
		answer := a.run(n, r.key)
		time.Sleep(r.lasts / 2)
		if r.outcome == runsAndIsCut {
			return Response{}, verdict.New(verdict.MayHaveRun, 502, "cut", "connection lost")
		}
		return Response{Status: 200, Body: []byte(answer)}, nil
	})
	a.check(r.key, string(response.Body), ran, err)
}

func (a *audit) run(n, key int) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.runs[key]++
	a.answers[key] = fmt.Sprintf("answer to request %d", n)
	if a.runs[key] > 1 {
		a.violations = append(a.violations, fmt.Sprintf("key %d ran %d times", key, a.runs[key]))
	}
	return a.answers[key]
}

func (a *audit) check(key int, body string, ran bool, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err == nil {
		a.tally["answered"]++
		if body != a.answers[key] {
			a.violations = append(a.violations, fmt.Sprintf("key %d got %q, not %q", key, body, a.answers[key]))
		}
		return
	}
	a.tally[verdict.As(err).Code]++
	if ran && verdict.Of(err) == verdict.NotRun {
		a.violations = append(a.violations, fmt.Sprintf("key %d ran and was refused as not run", key))
	}
}
