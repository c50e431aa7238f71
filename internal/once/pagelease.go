package once

import (
	"context"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
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

	// turn has room for one value; whoever put it there may use id and since. It is a
	// channel because it is held during a call of the store.
	turn  chan struct{}
	id    backing.LeaseID
	since time.Time
}

func (p *pageLease) get(ctx context.Context) (backing.LeaseID, error) {
	select {
	case p.turn <- struct{}{}:
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	defer func() { <-p.turn }()
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

// forget makes the next page ask for another lease than id.
func (p *pageLease) forget(id backing.LeaseID) {
	p.turn <- struct{}{}
	defer func() { <-p.turn }()
	if p.id == id {
		p.id = 0
	}
}
