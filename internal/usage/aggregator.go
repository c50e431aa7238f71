package usage

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/record"
	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// Aggregator aggregates and reports the usage of the shards whose leases this host
// holds.
type Aggregator struct {
	settings  Settings
	ownership Ownership
	shards    []*shardAggregator
	stats     Stats
}

// NewAggregator returns the aggregator of the named host. A shard is idle until
// ownership grants it to the host.
func NewAggregator(s Settings, host string, writeTokens *record.WriteTokens, ownership Ownership, store backing.Store, sink backing.UsageSink) *Aggregator {
	a := &Aggregator{settings: s, ownership: ownership}
	for shard := range s.Shards {
		aggregator := &shardAggregator{settings: s, shard: shard, host: host, store: store, sink: sink, stats: &a.stats}
		aggregator.record = record.New[shardRecord](store, aggregator.key(), writeTokens)
		aggregator.reset()
		a.shards = append(a.shards, aggregator)
	}
	return a
}

// Stats returns the counters shared by all shards.
func (a *Aggregator) Stats() *Stats { return &a.stats }

// HandleUsage accepts batches from hosts and acknowledges, for each batch, what is in
// the store. Batches of unknown shards are ignored.
func (a *Aggregator) HandleUsage(part *wire.UsagePart) *wire.UsagePart {
	answer := &wire.UsagePart{}
	for _, batch := range part.GetBatches() {
		if batch.Shard < 0 || int(batch.Shard) >= len(a.shards) {
			continue
		}
		answer.Acks = append(answer.Acks, a.shards[batch.Shard].accept(batch))
	}
	return answer
}

// Run calls Step at the write interval until ctx ends.
func (a *Aggregator) Run(ctx context.Context) {
	ticker := time.NewTicker(a.settings.WriteInterval)
	defer ticker.Stop()
	for {
		a.Step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Step performs one cycle for every shard that the host owns, and discards the cached
// state of all others. It returns when all shards are done.
func (a *Aggregator) Step(ctx context.Context) {
	var group errgroup.Group
	for _, shard := range a.shards {
		fence, deadline, owned := a.ownership.Held(shard.shard)
		if !owned {
			shard.reset()
			continue
		}
		group.Go(func() error {
			ctx, cancel := context.WithDeadline(ctx, deadline)
			defer cancel()
			if err := shard.step(ctx, fence, time.Now()); err != nil {
				a.stats.Failures.Add(1)
			}
			return nil
		})
	}
	_ = group.Wait()
}
