package idempotency

import (
	"context"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
)

const (
	// pageLeaseAge is how long new pages are attached to the same lease.
	pageLeaseAge = time.Hour
	// pageLeaseMargin is how long pages remain beyond the retention time.
	pageLeaseMargin = 2 * time.Hour
)

// pageLease provides a store lease that is never renewed. When it expires, the
// store deletes the sealed pages, including those of writers that failed before
// they wrote the head.
type pageLease struct {
	store     *countedStore
	retention time.Duration

	// sem guards id and grantedAt. It is a channel because it is held during a
	// store call, while a waiter must remain cancelable.
	sem       chan struct{}
	id        backing.LeaseID
	grantedAt time.Time
}

func (p *pageLease) get(ctx context.Context) (backing.LeaseID, error) {
	select {
	case p.sem <- struct{}{}:
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	defer func() { <-p.sem }()
	now := time.Now()
	if p.id != 0 && now.Sub(p.grantedAt) < pageLeaseAge {
		return p.id, nil
	}
	lease, err := p.store.Grant(ctx, p.retention+pageLeaseMargin)
	if err != nil {
		return 0, err
	}
	p.id, p.grantedAt = lease.ID, now
	return p.id, nil
}

// invalidate discards the lease id, so that the next page gets a new one.
func (p *pageLease) invalidate(id backing.LeaseID) {
	p.sem <- struct{}{}
	defer func() { <-p.sem }()
	if p.id == id {
		p.id = 0
	}
}
