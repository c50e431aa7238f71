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

// maxReason bounds what is kept of a refusal by /readyz.
const maxReason = 200

// load is callers at work, with the platform's balancer before the entry
// hosts: a host is in rotation while it says that it is ready.
type load struct {
	site   *site
	client *http.Client
	cancel context.CancelFunc
	group  sync.WaitGroup

	// mu guards all below.
	mu sync.Mutex
	// rotation holds why a host is not ready, empty for those that are.
	rotation map[*host]string
	requests []audit.Request
	seen     []audit.RevisionObservation
}

// startLoad starts callers, spread over the site's keys.
func (s *site) startLoad(callers int, seed uint64) *load {
	s.t.Logf("load: %d callers, seed %d", callers, seed)
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{
		site: s, cancel: cancel, rotation: make(map[*host]string),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}},
	}
	for _, h := range s.entries {
		l.group.Go(func() { l.follow(ctx, h) })
	}
	for i := range callers {
		c := &caller{
			load: l, number: i, key: s.keys[i%len(s.keys)],
			random: rand.New(rand.NewPCG(seed, uint64(i))),
		}
		l.group.Go(func() { c.run(ctx) })
	}
	s.t.Cleanup(l.end)
	return l
}

// follow keeps the rotation and the record of revisions current for a host.
func (l *load) follow(ctx context.Context, h *host) {
	for ctx.Err() == nil {
		reason := l.notReady(ctx, h)
		seen, fresh := h.seen(ctx)
		l.mu.Lock()
		l.rotation[h] = reason
		if fresh {
			l.seen = append(l.seen, seen)
		}
		l.mu.Unlock()
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
		}
	}
}

// notReady asks a host whether it takes callers; it returns why not.
func (l *load) notReady(ctx context.Context, h *host) string {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.operators+"/readyz", nil)
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
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxReason))
	return "not ready: " + string(body)
}

// pick returns an entry host in rotation, nil if there is none.
func (l *load) pick(random *rand.Rand) *host {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []*host
	for _, h := range l.site.entries {
		if reason, known := l.rotation[h]; known && reason == "" {
			list = append(list, h)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return list[random.IntN(len(list))]
}

func (l *load) add(r audit.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, r)
}

// answered is how many requests got their whole answer so far.
func (l *load) answered() int {
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

// outcomes counts requests by status and verdict, and says who is in rotation.
func (l *load) outcomes() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make(map[string]int)
	for _, r := range l.requests {
		counts[fmt.Sprintf("status %d %s %s complete %t", r.Status, r.Code, r.Verdict, r.Complete)]++
	}
	rotation := make(map[string]string)
	for h, reason := range l.rotation {
		rotation[h.name] = reason
	}
	return fmt.Sprintf("outcomes %v, not ready %q", counts, rotation)
}

// waitAnswers waits until so many more requests were answered.
func (l *load) waitAnswers(t *testing.T, more int) {
	t.Helper()
	want := l.answered() + more
	deadline := time.Now().Add(settleTimeout)
	for l.answered() < want {
		if time.Now().After(deadline) {
			t.Fatalf("%d of %d requests were answered; %s", l.answered(), want, l.outcomes())
		}
		time.Sleep(pollInterval)
	}
}

// end stops the callers once their running requests are over.
func (l *load) end() {
	l.cancel()
	l.group.Wait()
}
