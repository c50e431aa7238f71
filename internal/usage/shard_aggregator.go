package usage

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/record"
	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// shardAggregator aggregates, seals and reports the usage of one shard while this
// host holds the shard's lease.
type shardAggregator struct {
	settings Settings
	shard    int
	host     string
	store    backing.Store
	sink     backing.UsageSink
	stats    *Stats

	// mu guards pending, durable and durableFence. All other mutable fields are
	// accessed by step only.
	mu sync.Mutex
	// pending is the latest batch received from each source, to be applied by the
	// next write.
	pending map[string]*wire.UsageBatch
	// durable is the last batch of each source that is in the store. It is nil
	// while this host does not own the shard.
	durable map[string]appliedBatch
	// durableFence is the fencing token of the record that contains durable.
	durableFence int64

	faults injectedFaults
	fence  int64
	record *record.Record[shardRecord]
}

// injectedFaults are deliberate defects that tests enable to check that they are
// detected.
type injectedFaults struct {
	// countDuplicates counts a batch every time it is received.
	countDuplicates bool
}

// errLostShard means that another host has taken over the shard.
var errLostShard = errors.New("usage shard is owned by another host")

func (a *shardAggregator) key() string { return fmt.Sprintf("usage/shard/%04d", a.shard) }

func (a *shardAggregator) pageKey(hash string) string {
	return fmt.Sprintf("usage/page/%04d/%s", a.shard, hash)
}

// accept queues a batch for the next write and acknowledges the last batch of
// its source that is in the store.
func (a *shardAggregator) accept(batch *wire.UsageBatch) *wire.UsageAck {
	a.mu.Lock()
	defer a.mu.Unlock()
	ack := &wire.UsageAck{Shard: batch.Shard}
	if a.durable == nil {
		return ack
	}
	ack.Known = true
	ack.Fence = a.durableFence
	ack.Sequence = a.durable[batch.Source].Sequence
	if (batch.Sequence > ack.Sequence || a.faults.countDuplicates) && len(a.pending) < maxPendingBatches {
		a.pending[batch.Source] = batch
	}
	return ack
}

// maxPendingBatches bounds the batches that wait to be written to the store, at most
// one per source.
const maxPendingBatches = 4096

// step performs one cycle under the lease with the given fencing token: it loads
// the record if needed, applies pending batches, seals due windows and reports
// their pages. It returns errLostShard once another host has written the record.
func (a *shardAggregator) step(ctx context.Context, fence int64, now time.Time) error {
	if !a.record.Loaded() || a.fence != fence {
		if err := a.load(ctx, fence); err != nil {
			return err
		}
	}
	if err := a.applyPending(ctx, now); err != nil {
		return err
	}
	if err := a.seal(ctx, now); err != nil {
		return err
	}
	return a.reportPages(ctx)
}

// reset discards the cached state of the shard. Hosts resend the batches that are
// not in the store to the next owner.
func (a *shardAggregator) reset() {
	a.mu.Lock()
	a.pending = make(map[string]*wire.UsageBatch)
	a.durable = nil
	a.mu.Unlock()
	a.record.Forget()
}

// load reads the record and writes the given fencing token to it, so that no
// write of a previous owner succeeds afterwards.
func (a *shardAggregator) load(ctx context.Context, fence int64) error {
	a.reset()
	if err := a.record.Load(ctx); err != nil {
		return err
	}
	if a.record.Value().Fence > fence {
		a.record.Forget() // the next step must not use a record of the new owner
		return errLostShard
	}
	a.fence = fence
	next := a.record.Value().clone()
	next.Fence = fence
	return a.swap(ctx, next)
}

// swap replaces the current record with next. After an error the cached record is
// invalid and the next step loads it again.
func (a *shardAggregator) swap(ctx context.Context, next shardRecord) error {
	if err := a.record.Swap(ctx, next); err != nil {
		a.record.Forget()
		return err
	}
	a.stats.Writes.Add(1)
	a.mu.Lock()
	a.durable, a.durableFence = next.Applied, next.Fence
	a.mu.Unlock()
	return nil
}

// applyPending adds the pending batches to the record and writes it.
func (a *shardAggregator) applyPending(ctx context.Context, now time.Time) error {
	a.mu.Lock()
	batches := a.pending
	a.pending = make(map[string]*wire.UsageBatch)
	a.mu.Unlock()
	if len(batches) == 0 {
		return nil
	}
	next := a.record.Value().clone()
	next.advanceOwnedTime(now)
	current := a.currentWindow(now)
	size := next.estimateBytes()
	for source, batch := range batches {
		if batch.Sequence != next.Applied[source].Sequence+1 && !a.faults.countDuplicates {
			continue // already counted, or the state of its source has expired
		}
		if size += estimateBatchBytes(batch); size > maxRecordBytes {
			a.stats.DeferredBatches.Add(1)
			break // the sending host retries; sealing frees space
		}
		for _, entry := range batch.Entries {
			key, figures := fromWireEntry(entry)
			next.add(key, figures, current)
		}
		next.Applied[source] = appliedBatch{Sequence: batch.Sequence, OwnedSeconds: next.OwnedSeconds}
	}
	return a.swap(ctx, next)
}

// estimateBatchBytes estimates the encoded size, in bytes, that a batch adds to the
// record.
func estimateBatchBytes(batch *wire.UsageBatch) int {
	size := 0
	for _, entry := range batch.Entries {
		size += maxLineOverheadBytes + len(entry.Workspace) + len(entry.Model)
	}
	return size
}

// currentWindow returns the window that contains now, or the first window after the
// watermark if that is later; it is never a sealed one.
func (a *shardAggregator) currentWindow(now time.Time) Window {
	step := Window(a.settings.Window / time.Second)
	return max(a.settings.windowAt(now), a.record.Value().Watermark+step)
}
