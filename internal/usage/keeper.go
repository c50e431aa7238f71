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

// keeper keeps one shard while this host holds its lease.
type keeper struct {
	settings Settings
	shard    int
	host     string
	store    backing.Store
	sink     backing.UsageSink
	stats    *Stats

	// mu guards pending, durable and durableFence; the other fields belong to step.
	mu      sync.Mutex
	pending map[string]*wire.UsageBatch
	// durable is the last batch of each source that the store holds; nil
	// while this host does not keep the shard.
	durable map[string]applied
	// durableFence is the fencing number of the record that holds them.
	durableFence int64

	flaws  flaws
	fence  int64
	record *record.Record[shardRecord]
}

// flaws break a keeper on purpose, for tests that must notice.
type flaws struct {
	// countsRepeats counts a batch each time it comes.
	countsRepeats bool
}

// errLostShard means that another keeper has taken the shard over.
var errLostShard = errors.New("usage shard is kept by another host")

func (k *keeper) key() string { return fmt.Sprintf("usage/shard/%04d", k.shard) }

func (k *keeper) pageKey(hash string) string {
	return fmt.Sprintf("usage/page/%04d/%s", k.shard, hash)
}

// accept takes a batch and returns the sequence number of the last batch of
// its source that is in the store.
func (k *keeper) accept(b *wire.UsageBatch) *wire.UsageAck {
	k.mu.Lock()
	defer k.mu.Unlock()
	ack := &wire.UsageAck{Shard: b.Shard}
	if k.durable == nil {
		return ack
	}
	ack.Known = true
	ack.Fence = k.durableFence
	ack.Sequence = k.durable[b.Source].Sequence
	if (b.Sequence > ack.Sequence || k.flaws.countsRepeats) && len(k.pending) < maxPending {
		k.pending[b.Source] = b
	}
	return ack
}

// maxPending bounds the batches that wait for the store, one a source.
const maxPending = 4096

// step does what is due under the lease: load, write, seal, report. It returns
// errLostShard once another keeper wrote the record.
func (k *keeper) step(ctx context.Context, fence int64, now time.Time) error {
	if !k.record.Loaded() || k.fence != fence {
		if err := k.load(ctx, fence); err != nil {
			return err
		}
	}
	if err := k.write(ctx, now); err != nil {
		return err
	}
	if err := k.seal(ctx, now); err != nil {
		return err
	}
	return k.report(ctx)
}

// drop forgets the shard; batches that are not in the store are sent again by
// their hosts to the next keeper.
func (k *keeper) drop() {
	k.mu.Lock()
	k.pending = make(map[string]*wire.UsageBatch)
	k.durable = nil
	k.mu.Unlock()
	k.record.Forget()
}

// load reads the record and writes this keeper's fencing number into it, so
// that no write of an earlier keeper succeeds afterwards.
func (k *keeper) load(ctx context.Context, fence int64) error {
	k.drop()
	if err := k.record.Load(ctx); err != nil {
		return err
	}
	if k.record.Value().Fence > fence {
		k.record.Forget() // or the next step would use it
		return errLostShard
	}
	k.fence = fence
	next := k.record.Value().clone()
	next.Fence = fence
	return k.swap(ctx, next)
}

// swap writes the next record over the current one. After an error the record
// is loaded again.
func (k *keeper) swap(ctx context.Context, next shardRecord) error {
	if err := k.record.Swap(ctx, next); err != nil {
		k.record.Forget()
		return err
	}
	k.stats.Writes.Add(1)
	k.mu.Lock()
	k.durable, k.durableFence = next.Applied, next.Fence
	k.mu.Unlock()
	return nil
}

// write adds the pending batches to the record.
func (k *keeper) write(ctx context.Context, now time.Time) error {
	k.mu.Lock()
	batches := k.pending
	k.pending = make(map[string]*wire.UsageBatch)
	k.mu.Unlock()
	if len(batches) == 0 {
		return nil
	}
	next := k.record.Value().clone()
	next.age(now)
	current := k.current(now)
	size := next.bytes()
	for source, b := range batches {
		if b.Sequence != next.Applied[source].Sequence+1 && !k.flaws.countsRepeats {
			continue // counted already, or its source is forgotten
		}
		if size += batchBytes(b); size > maxRecordBytes {
			k.stats.Full.Add(1)
			break // its host repeats it; sealing makes room
		}
		for _, e := range b.Entries {
			key, f := lineOf(e)
			next.add(key, f, current)
		}
		next.Applied[source] = applied{Sequence: b.Sequence, Kept: next.Kept}
	}
	return k.swap(ctx, next)
}

// batchBytes estimates what a batch adds to the record.
func batchBytes(b *wire.UsageBatch) int {
	n := 0
	for _, e := range b.Entries {
		n += lineBytes + len(e.Workspace) + len(e.Model)
	}
	return n
}

// current is the window of now, and never one that is sealed.
func (k *keeper) current(now time.Time) Window {
	step := Window(k.settings.Window / time.Second)
	return max(k.settings.windowAt(now), k.record.Value().Watermark+step)
}
