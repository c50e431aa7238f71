package once

import (
	"context"
	"sync"
	"time"

	"github.com/acacialink/acacialink/internal/platform"
)

const (
	// pageLeaseAge is how long one lease takes new pages.
	pageLeaseAge = time.Hour
	// pageLeaseMargin is how much longer than the retention time pages stay.
	pageLeaseMargin = 2 * time.Hour
)

// pageLease hands out a store lease that is never renewed: sealed pages, and
// those of writers that died before their head was written, go away with it.
type pageLease struct {
	store     *countedStore
	retention time.Duration

	// mu guards id and since.
	mu    sync.Mutex
	id    platform.LeaseID
	since time.Time
}

func (p *pageLease) get(ctx context.Context) (platform.LeaseID, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.id != 0 && now.Sub(p.since) < pageLeaseAge {
		return p.id, nil
	}
	lease, err := p.store.Grant(ctx, p.retention+pageLeaseMargin)
	if err != nil {
		return 0, err
	}
	p.id, p.since = lease.ID, now
	return p.id, nil
}
