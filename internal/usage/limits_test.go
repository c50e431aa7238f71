package usage

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// Lines that exceed the size of a shard record stay on their hosts until sealing frees
// space. No usage is lost and the shard continues to make progress.
func TestBatchesBeyondRecordSizeWaitForSeal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cluster := newTestCluster(2)
		var want Figures
		for second := range 5 {
			for n := range 500 {
				name := fmt.Sprintf("workspace-%05d-%s", second*500+n, strings.Repeat("x", 900))
				cluster.hosts["h1"].recorder.Add(name, "model-with-a-long-name", 7, 2, 0, 1)
				want = want.Plus(Figures{7, 2, 0, 1})
			}
			cluster.advanceSecond(t.Context())
		}
		full := int64(0)
		for n := 0; n < 600 && cluster.sink.total(t) != want; n++ {
			cluster.advanceSecond(t.Context())
			full = cluster.hosts["h0"].aggregator.Stats().DeferredBatches.Load()
		}
		is.Equal(cluster.sink.total(t), want)
		is.True(full > 0)
		is.Equal(cluster.hosts["h0"].aggregator.Stats().Failures.Load(), int64(0))
		is.Equal(cluster.hosts["h1"].recorder.Dropped(), int64(0))
		cluster.store.Close()
	})
}

// The acknowledgement of a batch is lost before a store outage of 20 hours, and other
// hosts reconnect before the one that sent the batch. Guards against counting the
// batch twice.
func TestBatchCountedOnceAcrossDayLongOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cluster := newTestCluster(3)
		var want Figures
		add := func(name string) {
			cluster.hosts[name].recorder.Add("w", "m", 5, 1, 0, 1)
			want = want.Plus(Figures{5, 1, 0, 1})
		}
		for range 5 {
			add("h1")
			add("h2")
			cluster.advanceSecond(t.Context())
		}
		add("h2")
		cluster.hosts["h2"].sender.Flush(t.Context())
		cluster.hosts["h0"].aggregator.Step(t.Context()) // stored, but h2 receives no acknowledgement
		cluster.hosts["h2"].down = true
		cluster.store.SetDown(true)
		for range 20 {
			time.Sleep(time.Hour)
			add("h1")
			cluster.hosts["h1"].sender.Flush(t.Context())
		}
		cluster.store.SetDown(false)
		for range 200 {
			cluster.advanceSecond(t.Context())
		}
		cluster.hosts["h2"].down = false
		add("h2")
		for range 200 {
			cluster.advanceSecond(t.Context())
		}
		is.Equal(cluster.sink.total(t), want)
		is.Equal(cluster.hosts["h1"].recorder.Dropped()+cluster.hosts["h2"].recorder.Dropped(), int64(0))
		cluster.store.Close()
	})
}

// The state of a source expires at the owner while a batch is unacknowledged. The batch
// may be counted already, so the sender must drop it instead of sending it again.
func TestBatchOfExpiredSourceIsNotRecounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cluster := newTestCluster(2)
		for range 3 {
			cluster.hosts["h1"].recorder.Add("w", "m", 1, 1, 0, 1)
			cluster.advanceSecond(t.Context())
		}
		cluster.hosts["h1"].recorder.Add("w", "m", 1, 1, 0, 1)
		cluster.hosts["h1"].sender.Flush(t.Context())
		cluster.hosts["h0"].aggregator.Step(t.Context()) // stored, but h1 receives no acknowledgement
		cluster.hosts["h1"].down = true
		for range 8 * 60 {
			cluster.hosts["h0"].recorder.Add("w", "m", 1, 1, 0, 1)
			time.Sleep(59 * time.Second)
			cluster.advanceSecond(t.Context())
		}
		cluster.hosts["h1"].down = false
		for range 30 {
			cluster.hosts["h1"].recorder.Add("w", "m", 1, 1, 0, 1)
			cluster.advanceSecond(t.Context())
		}
		for range 200 {
			cluster.advanceSecond(t.Context())
		}
		is.Equal(cluster.sink.total(t).Calls, int64(4+8*60+30))
		is.Equal(cluster.hosts["h1"].recorder.Dropped(), int64(1))
		cluster.store.Close()
	})
}

// A batch that is not the successor of the last one applied is not counted.
func TestAggregatorRejectsNonConsecutiveBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cluster := newTestCluster(1)
		cluster.advanceSecond(t.Context())
		aggregator := cluster.hosts["h0"].aggregator
		part := &wire.UsagePart{Batches: []*wire.UsageBatch{{Source: "old/1", Sequence: 9, Entries: []*wire.UsageEntry{{Window: 60, Workspace: "w", Calls: 1}}}}}
		aggregator.HandleUsage(part)
		cluster.advanceSecond(t.Context())
		is.Equal(aggregator.HandleUsage(part).Acks[0].Sequence, int64(0))
		cluster.store.Close()
	})
}

// A replaced owner whose cached state still shows a valid lease must not write or report
// anything once its successor has written, even if the successor has nothing to write.
func TestReplacedOwnerCannotWriteOrReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cluster := newTestCluster(3)
		cluster.hosts["h2"].recorder.Add("w", "m", 1, 1, 0, 1)
		cluster.advanceSecond(t.Context())
		cluster.advanceSecond(t.Context())
		cluster.transferOwnership("h1")
		cluster.advanceSecond(t.Context())
		replaced := cluster.hosts["h0"].aggregator // its steps run before those of the successor
		before := replaced.Stats().Writes.Load()
		for shard := range int32(2) { // from a host that has not learned of the successor
			batch := &wire.UsageBatch{Shard: shard, Source: "h9/0", Sequence: 1, Entries: []*wire.UsageEntry{{Window: 60, Workspace: "w", Calls: 1}}}
			replaced.HandleUsage(&wire.UsagePart{Batches: []*wire.UsageBatch{batch}})
		}
		for range 120 {
			cluster.advanceSecond(t.Context())
		}
		is.Equal(replaced.Stats().Writes.Load(), before)
		is.Equal(replaced.Stats().Reported.Load(), int64(0))
		is.Equal(cluster.sink.total(t).Calls, int64(1))
		cluster.store.Close()
	})
}
