//go:build linux

package fault

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/acacialink/acacialink/internal/audit"
)

// load is callers at work, with the platform's balancer before the entry
// hosts: a host is in rotation while it says that it is ready.
type load struct {
	site   *site
	client *http.Client
	cancel context.CancelFunc
	group  sync.WaitGroup

	// mu guards all below.
	mu       sync.Mutex
	rotation map[*host]bool
	requests []audit.Request
	seen     []audit.ConfigSeen
}

// startLoad starts callers, spread over the site's keys.
func (s *site) startLoad(callers int, seed uint64) *load {
	s.t.Logf("load: %d callers, seed %d", callers, seed)
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{
		site: s, cancel: cancel, rotation: make(map[*host]bool),
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
		ready := l.ready(ctx, h)
		seen, fresh := h.seen(ctx)
		l.mu.Lock()
		l.rotation[h] = ready
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

func (l *load) ready(ctx context.Context, h *host) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.operators+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// pick returns an entry host in rotation, nil if there is none.
func (l *load) pick(random *rand.Rand) *host {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []*host
	for _, h := range l.site.entries {
		if l.rotation[h] {
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

// waitAnswers waits until so many more requests were answered.
func (l *load) waitAnswers(t *testing.T, more int) {
	t.Helper()
	want := l.answered() + more
	deadline := time.Now().Add(settleTimeout)
	for l.answered() < want {
		if time.Now().After(deadline) {
			t.Fatalf("%d of %d requests were answered", l.answered(), want)
		}
		time.Sleep(pollInterval)
	}
}

// end stops the callers once their running requests are over.
func (l *load) end() {
	l.cancel()
	l.group.Wait()
}
