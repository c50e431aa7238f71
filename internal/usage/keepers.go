package usage

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/record"
	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// Keepers keep the shards whose leases this host holds.
type Keepers struct {
	settings Settings
	owners   Ownership
	keepers  []*keeper
	stats    Stats
}

// NewKeepers returns the keepers of a host.
func NewKeepers(s Settings, host string, marks *record.WriteTokens, owners Ownership, store backing.Store, sink backing.UsageSink) *Keepers {
	all := &Keepers{settings: s, owners: owners}
	for shard := range s.Shards {
		k := &keeper{settings: s, shard: shard, host: host, store: store, sink: sink, stats: &all.stats}
		k.record = record.New[shardRecord](store, k.key(), marks)
		k.drop()
		all.keepers = append(all.keepers, k)
	}
	return all
}

// Stats returns the counters.
func (k *Keepers) Stats() *Stats { return &k.stats }

// HandleUsage takes batches of other hosts and answers what is in the store.
func (k *Keepers) HandleUsage(part *wire.UsagePart) *wire.UsagePart {
	answer := &wire.UsagePart{}
	for _, b := range part.GetBatches() {
		if b.Shard < 0 || int(b.Shard) >= len(k.keepers) {
			continue
		}
		answer.Acks = append(answer.Acks, k.keepers[b.Shard].accept(b))
	}
	return answer
}

// Run keeps the shards until ctx ends.
func (k *Keepers) Run(ctx context.Context) {
	ticker := time.NewTicker(k.settings.Write)
	defer ticker.Stop()
	for {
		k.Step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Step does once what is due for each shard that the host holds.
func (k *Keepers) Step(ctx context.Context) {
	var g errgroup.Group
	for _, one := range k.keepers {
		fence, deadline, held := k.owners.Held(one.shard)
		if !held {
			one.drop()
			continue
		}
		g.Go(func() error {
			ctx, cancel := context.WithDeadline(ctx, deadline)
			defer cancel()
			if err := one.step(ctx, fence, time.Now()); err != nil {
				k.stats.Failures.Add(1)
			}
			return nil
		})
	}
	_ = g.Wait()
}
