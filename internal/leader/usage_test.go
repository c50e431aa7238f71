package leader

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/standin/kv"
)

func newTestUsageReporter(counter *Counter, store backing.Store, recorder *fakeReporter, incarnation string) *usageReporter {
	return &usageReporter{
		counter: counter, store: store, reporter: recorder, host: incarnation, incarnation: incarnation, settlingDelay: 2 * time.Second, log: discardLog,
		reported: make(map[int64]bool), sealed: make(map[int64]Counts), firstWindow: counter.CurrentWindow(),
		eras: eraLog{store: store, now: counter.now, noticed: func() EraNotice { return EraNotice{} }},
	}
}

func TestReportIncludesCountsOfAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := kv.New(kv.Options{})
		defer store.Close()
		own, other := NewCounter(window, time.Now), NewCounter(window, time.Now)
		recorder := &fakeReporter{accepted: make(map[int64]Counts)}
		reporter := newTestUsageReporter(own, store.Client("a"), recorder, "a-1")
		current := own.CurrentWindow()
		own.RecordStart("w")
		other.RecordStart("w")
		other.RecordStart("v")
		// The other host saves its counts and crashes before it sends them.
		writer := &CountsWriter{IsLeader: falseFunc, ReceivedByLeader: falseFunc, Counter: other, Store: store.Client("b"), Incarnation: "b-1", Log: discardLog}
		writer.init()
		writer.save(t.Context())
		time.Sleep(window + 3*time.Second)
		is.NoErr(reporter.step(t.Context(), 7))
		is.Equal(recorder.accepted[current], Counts{"w": 2, "v": 1})
	})
}

// If the response to a report is lost, the next leader repeats the report with
// the sealed counts, even if it has received further counts since.
func TestNextLeaderReportsSealedCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := kv.New(kv.Options{})
		defer store.Close()
		first, second := NewCounter(window, time.Now), NewCounter(window, time.Now)
		recorder := &fakeReporter{accepted: make(map[int64]Counts), err: backing.ErrUnknown}
		leader, nextLeader := newTestUsageReporter(first, store.Client("a"), recorder, "a-1"), newTestUsageReporter(second, store.Client("b"), recorder, "b-1")
		current := first.CurrentWindow()
		first.RecordStart("w")
		time.Sleep(window + 3*time.Second)
		is.True(errors.Is(leader.step(t.Context(), 7), backing.ErrUnknown))
		second.MergePeer("c-1", map[int64]map[string]int64{current: {"late": 5}})
		recorder.err = nil
		is.NoErr(nextLeader.step(t.Context(), 8))
		is.Equal(recorder.accepted[current], Counts{"w": 1})
	})
}

func TestWindowIsReportedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := kv.New(kv.Options{})
		defer store.Close()
		counter := NewCounter(window, time.Now)
		recorder := &fakeReporter{accepted: make(map[int64]Counts)}
		reporter := newTestUsageReporter(counter, store.Client("a"), recorder, "a-1")
		time.Sleep(window + 3*time.Second)
		for range 3 {
			is.NoErr(reporter.step(t.Context(), 7))
		}
		is.Equal(recorder.calls, 1)
	})
}

// After a write whose response was lost, the writer reads the revision and
// overwrites the value.
func TestCountsWriterRecoversFromLostResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := kv.New(kv.Options{Seed: 1})
		defer store.Close()
		client := store.Client("a")
		counter := NewCounter(window, time.Now)
		writer := &CountsWriter{IsLeader: falseFunc, ReceivedByLeader: falseFunc, Counter: counter, Store: client, Incarnation: "a-1", Log: discardLog}
		writer.init()
		current := counter.CurrentWindow()
		counter.RecordStart("w")
		writer.save(t.Context()) // grants the lease and writes the key
		counter.RecordStart("w")
		client.LoseNext(1)
		writer.save(t.Context())
		counter.RecordStart("w")
		writer.save(t.Context())
		writer.save(t.Context())
		got, err := client.Get(t.Context(), countsKey(current)+"a-1")
		is.NoErr(err)
		is.Equal(string(got.Value), `{"a-1":{"w":3}}`)
	})
}

// The leader saves the counts of all hosts that it receives. A host whose counts
// the leader receives writes nothing.
func TestLeaderSavesCountsOfAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := kv.New(kv.Options{})
		defer store.Close()
		counter := NewCounter(window, time.Now)
		trueFunc := func() bool { return true }
		current := counter.CurrentWindow()
		counter.RecordStart("w")
		counter.MergePeer("b-1", map[int64]map[string]int64{current: {"w": 2}})
		receivedWriter := &CountsWriter{IsLeader: falseFunc, ReceivedByLeader: trueFunc, Counter: counter, Store: store.Client("a"), Incarnation: "a-1", Log: discardLog}
		receivedWriter.init()
		receivedWriter.save(t.Context())
		is.Equal(len(store.Record()), 0)
		leaderWriter := &CountsWriter{IsLeader: trueFunc, ReceivedByLeader: falseFunc, Counter: counter, Store: store.Client("a"), Incarnation: "a-1", Log: discardLog}
		leaderWriter.init()
		leaderWriter.save(t.Context())
		got, err := store.Client("b").Get(t.Context(), countsKey(current)+"a-1")
		is.NoErr(err)
		is.Equal(string(got.Value), `{"a-1":{"w":1},"b-1":{"w":2}}`)
	})
}

// A change of leader takes about 1.5 s.
func TestHostsWaitForNextLeaderBeforeTheyWriteCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := kv.New(kv.Options{})
		defer store.Close()
		counter := NewCounter(window, time.Now)
		var received atomic.Bool
		received.Store(true)
		writer := &CountsWriter{IsLeader: falseFunc, ReceivedByLeader: received.Load, Counter: counter, Store: store.Client("a"), Incarnation: "a-1", Log: discardLog}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			writer.Run(ctx)
		}()
		time.Sleep(window)
		received.Store(false)
		counter.RecordStart("w")
		time.Sleep(1250 * time.Millisecond) // less than 1.5 s after the last look at the leader
		is.Equal(len(store.Record()), 0)
		time.Sleep(time.Second)
		is.Equal(len(store.Record()), 1)
		cancel()
		<-done
	})
}

// When the leader is lost, the other hosts wait for the next one before they write, and
// write only what the last one cannot have received.
func TestHostsWriteFewCountsBetweenLeaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := kv.New(kv.Options{})
		defer store.Close()
		counter := NewCounter(window, time.Now)
		var received atomic.Bool
		received.Store(true)
		writer := &CountsWriter{IsLeader: falseFunc, ReceivedByLeader: received.Load, Counter: counter, Store: store.Client("a"), Incarnation: "a-1", Log: discardLog}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			writer.Run(ctx)
		}()
		for range 3 {
			counter.RecordStart("w")
			time.Sleep(window)
		}
		received.Store(false)
		time.Sleep(leaderGap - saveInterval)
		received.Store(true)
		time.Sleep(window)
		is.Equal(len(store.Record()), 0) // the next leader came in time
		counter.RecordStart("w")
		current := counter.CurrentWindow()
		received.Store(false)
		time.Sleep(window - time.Second)
		is.Equal(len(store.Record()), 1) // the current window
		kv, err := store.Client("b").Get(t.Context(), countsKey(current)+"a-1")
		is.NoErr(err)
		is.Equal(string(kv.Value), `{"a-1":{"w":1}}`)
		cancel()
		<-done
	})
}

func TestPeerCountsNeverDecrease(t *testing.T) {
	is := is.New(t)
	counter := NewCounter(window, time.Now)
	current := counter.CurrentWindow()
	counter.MergePeer("b-1", map[int64]map[string]int64{current: {"w": 5}})
	counter.MergePeer("b-1", map[int64]map[string]int64{current: {"w": 3, "v": 1}}) // delayed older message
	is.Equal(counter.CountsByIncarnation("a-1", current), map[string]Counts{"b-1": {"w": 5, "v": 1}})
}
