//go:build linux

package fault

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/acacialink/acacialink/internal/audit"
)

// maxReasonBytes bounds how much of a negative /readyz response is retained.
const maxReasonBytes = 200

// load runs concurrent callers and stands in for the platform's load balancer,
// which sends requests only to entry hosts that report ready.
type load struct {
	site   *site
	client *http.Client
	cancel context.CancelFunc
	wg     sync.WaitGroup

	// mu guards the fields below.
	mu sync.Mutex
	// notReadyReason holds why a host is not ready, empty if it is ready. A host
	// has no entry until its first check.
	notReadyReason map[*host]string
	requests       []audit.Request
	observed       []audit.RevisionObservation
}

// startLoad starts the callers and assigns them the site's keys round-robin.
func (s *site) startLoad(callers int, seed uint64) *load {
	s.t.Logf("load: %d callers, seed %d", callers, seed)
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{
		site: s, cancel: cancel, notReadyReason: make(map[*host]string),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}},
	}
	for _, h := range s.entries {
		l.wg.Go(func() { l.pollHost(ctx, h) })
	}
	for i := range callers {
		c := &caller{
			load: l, index: i, key: s.keys[i%len(s.keys)],
			rng: rand.New(rand.NewPCG(seed, uint64(i))),
		}
		l.wg.Go(func() { c.run(ctx) })
	}
	s.t.Cleanup(l.stop)
	return l
}

// pollHost polls a host's readiness and configuration revision until ctx ends.
func (l *load) pollHost(ctx context.Context, h *host) {
	for ctx.Err() == nil {
		reason := l.checkReady(ctx, h)
		observed, fresh := h.observeConfig(ctx)
		l.mu.Lock()
		l.notReadyReason[h] = reason
		if fresh {
			l.observed = append(l.observed, observed)
		}
		l.mu.Unlock()
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
		}
	}
}

// checkReady queries a host's /readyz. It returns why the host is not ready,
// empty if it is ready.
func (l *load) checkReady(ctx context.Context, h *host) string {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.operatorAddress+"/readyz", nil)
	if err != nil {
		return err.Error()
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "unreachable"
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		return ""
	}
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxReasonBytes))
	return "not ready: " + string(body)
}

// pick returns a random ready entry host, or nil if there is none.
func (l *load) pick(rng *rand.Rand) *host {
	l.mu.Lock()
	defer l.mu.Unlock()
	var ready []*host
	for _, h := range l.site.entries {
		if reason, known := l.notReadyReason[h]; known && reason == "" {
			ready = append(ready, h)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	return ready[rng.IntN(len(ready))]
}

func (l *load) recordRequest(r audit.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, r)
}

// countAnswered returns the number of requests with a complete response so far.
func (l *load) countAnswered() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, r := range l.requests {
		if r.Status == http.StatusOK && r.Complete {
			n++
		}
	}
	return n
}

// outcomes formats the request counts by outcome and the hosts' readiness.
func (l *load) outcomes() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make(map[string]int)
	for _, r := range l.requests {
		counts[fmt.Sprintf("status %d %s %s complete %t", r.Status, r.Code, r.Verdict, r.Complete)]++
	}
	reasons := make(map[string]string)
	for h, reason := range l.notReadyReason {
		reasons[h.name] = reason
	}
	return fmt.Sprintf("outcomes %v, not ready %q", counts, reasons)
}

// waitAnswers waits until n more requests are answered.
func (l *load) waitAnswers(t *testing.T, n int) {
	t.Helper()
	target := l.countAnswered() + n
	deadline := time.Now().Add(waitTimeout)
	for l.countAnswered() < target {
		if time.Now().After(deadline) {
			t.Fatalf("%d of %d requests answered; %s", l.countAnswered(), target, l.outcomes())
		}
		time.Sleep(pollInterval)
	}
}

// stop stops the callers and waits for their running requests.
func (l *load) stop() {
	l.cancel()
	l.wg.Wait()
}
