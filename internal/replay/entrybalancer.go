package replay

import (
	"strings"
	"sync"
	"time"
)

// unreachableBackoff is how long an unreachable entry host is skipped.
const unreachableBackoff = time.Second

// entryBalancer distributes requests over the entry hosts in round-robin order,
// as the platform's load balancer does, and skips hosts that were recently
// unreachable. It is safe for concurrent use.
type entryBalancer struct {
	baseURLs []string

	mu         sync.Mutex // guards the fields below
	lastIndex  int
	avoidUntil []time.Time
}

func newEntryBalancer(entries []string) *entryBalancer {
	b := &entryBalancer{avoidUntil: make([]time.Time, len(entries))}
	for _, e := range entries {
		b.baseURLs = append(b.baseURLs, strings.TrimRight(e, "/"))
	}
	return b
}

// pick returns the index of the next entry host. If all of them are being
// skipped, it returns the next in order.
func (b *entryBalancer) pick() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for range b.baseURLs {
		b.lastIndex = (b.lastIndex + 1) % len(b.baseURLs)
		if now.After(b.avoidUntil[b.lastIndex]) {
			return b.lastIndex
		}
	}
	b.lastIndex = (b.lastIndex + 1) % len(b.baseURLs)
	return b.lastIndex
}

// markUnreachable skips an entry host for unreachableBackoff.
func (b *entryBalancer) markUnreachable(i int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.avoidUntil[i] = time.Now().Add(unreachableBackoff)
}
