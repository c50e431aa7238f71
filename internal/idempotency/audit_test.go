package idempotency

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

// audit runs a plan and collects violations of the guarantees. It counts runs at
// the service, independently of Claims.
type audit struct {
	mu            sync.Mutex
	store         *kv.Store
	hosts         []*Claims
	clients       []*kv.Client
	runs          map[int]int
	answers       map[int]string
	outcomeCounts map[string]int
	violations    []string
}

func runAudit(t *testing.T, p plan, injected faultInjection) *audit {
	t.Helper()
	a := &audit{runs: map[int]int{}, answers: map[int]string{}, outcomeCounts: map[string]int{}}
	synctest.Test(t, func(*testing.T) {
		a.store = kv.New(kv.Options{Seed: 1})
		for n := range planHosts {
			a.clients = append(a.clients, a.store.Client(fmt.Sprint("host", n)))
			a.hosts = append(a.hosts, a.newHost(n, injected))
		}
		var wg sync.WaitGroup
		for _, f := range p.faults {
			wg.Go(func() { a.inject(f, injected) })
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

func (a *audit) newHost(n int, injected faultInjection) *Claims {
	c := New(a.clients[n], Options{
		Shards:         2,
		MaxPageBytes:   2 << 10,
		StoreTimeout:   200 * time.Millisecond,
		ClaimTimeout:   600 * time.Millisecond,
		RequestTimeout: 2 * time.Second,
		RepeatTimeout:  time.Second,
	})
	c.faults = injected
	return c
}

func (a *audit) inject(f plannedFault, injected faultInjection) {
	time.Sleep(f.at)
	setFault := func(on bool) {
		rate := 0.0
		if on {
			rate = 0.3
		}
		switch f.kind {
		case faultStoreDown:
			a.store.SetDown(on)
		case faultHostSilent:
			a.clients[f.host].SetSilent(on)
		case faultLoseAnswers:
			a.store.LoseAnswers(rate)
		case faultDelayWrites:
			a.store.DelayWrites(rate, 300*time.Millisecond)
		case faultCutHost:
			a.clients[f.host].SetDown(on)
		}
	}
	if f.kind == faultCrash {
		a.crash(f.host, injected)
		return
	}
	setFault(true)
	time.Sleep(f.lasts)
	setFault(false)
}

// crash replaces a host by a new process. Requests that the old one has sent
// continue at the service, but its commit loops stop.
func (a *audit) crash(n int, injected faultInjection) {
	replacement := a.newHost(n, injected)
	a.mu.Lock()
	old := a.hosts[n]
	a.hosts[n] = replacement
	a.mu.Unlock()
	old.stop()
}

func (a *audit) request(n int, r plannedRequest) {
	time.Sleep(r.at)
	a.mu.Lock()
	host := a.hosts[r.host]
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), r.timeout)
	defer cancel()
	ran := false
	key := Key{Workspace: "w", Route: "/deposits", IdempotencyKey: fmt.Sprint(r.key)}
	response, _, err := host.Run(ctx, key, BodyHash{}, func(context.Context) (Response, error) {
		time.Sleep(r.duration / 2)
		if r.outcome == outcomeRefused {
			return Response{}, verdict.New(verdict.NotRun, 503, "busy", "not started")
		}
		if r.outcome == outcomeCutBeforeRun {
			return Response{}, verdict.New(verdict.MayHaveRun, 502, "cut", "connection lost")
		}
		ran = true
		answer := a.run(n, r.key)
		time.Sleep(r.duration / 2)
		if r.outcome == outcomeCutAfterRun {
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
		a.outcomeCounts["answered"]++
		if body != a.answers[key] {
			a.violations = append(a.violations, fmt.Sprintf("key %d got %q, not %q", key, body, a.answers[key]))
		}
		return
	}
	a.outcomeCounts[verdict.As(err).Code]++
	if ran && verdict.Of(err) == verdict.NotRun {
		a.violations = append(a.violations, fmt.Sprintf("key %d ran and was refused as not run", key))
	}
}
