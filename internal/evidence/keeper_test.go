package evidence

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/endpoint"
	"github.com/acacialink/acacialink/internal/observe"
	"github.com/acacialink/acacialink/internal/peer"
	"github.com/acacialink/acacialink/internal/standin/kv"
	"github.com/acacialink/acacialink/internal/suspect"
)

// newKeeper returns a keeper of a host that has just started.
func newKeeper(store backing.Store, host string) *Keeper {
	log := slog.New(slog.DiscardHandler)
	return &Keeper{
		Ledger: suspect.NewLedger(time.Now(), host, suspect.NewMetrics(observe.NewRegistry(observe.Identity{})), log),
		Store:  store, Writes: func() bool { return true }, Now: time.Now, Log: log,
	}
}

// crash lets the keeper's host see engines crash under requests with segment 2.
func (k *Keeper) crash(engines ...int) {
	for _, n := range engines {
		engine := endpoint.Key{ID: fmt.Sprint("engine-", n)}
		k.Ledger.Lost(time.Now(), engine, "llm", []uint64{2}, time.Time{})
		k.Ledger.Crashed(time.Now(), engine)
		time.Sleep(200 * time.Millisecond)
	}
}

func (k *Keeper) holds(segment uint64) bool {
	_, held := k.Ledger.Check(time.Now(), "llm", []uint64{segment}, false)
	return held
}

// run runs the keeper for a while.
func (k *Keeper) run(t *testing.T, d time.Duration) {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	k.Run(ctx)
}

func TestEvidenceOutlivesLossOfAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := kv.New(kv.Options{})
		a := newKeeper(store.Client("a"), "a")
		a.crash(1, 2)
		a.Ledger.Order(time.Now(), suspect.Segment{Service: "llm", Hash: 7}, true)
		a.run(t, time.Second)
		b := newKeeper(store.Client("b"), "b")
		b.run(t, time.Second)
		is.True(b.holds(7)) // an operator's decision
		is.True(!b.holds(2))
		b.crash(3)
		is.True(b.holds(2)) // two of the crashes were before
	})
}

func TestSegmentStaysAnsweredAcrossLossOfAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := kv.New(kv.Options{})
		a := newKeeper(store.Client("a"), "a")
		a.Ledger.Answered(time.Now(), endpoint.Key{ID: "engine-9"}, "llm", []uint64{2}, time.Now().Add(-time.Second))
		a.crash(1, 2)
		a.run(t, time.Second)
		b := newKeeper(store.Client("b"), "b")
		b.run(t, time.Second)
		b.crash(3)
		is.True(!b.holds(2))
	})
}

func TestOldEvidenceIsNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := kv.New(kv.Options{})
		a := newKeeper(store.Client("a"), "a")
		a.crash(1, 2, 3)
		a.run(t, time.Second)
		time.Sleep(11 * time.Minute)
		b := newKeeper(store.Client("b"), "b")
		b.run(t, time.Second)
		is.True(!b.holds(2))
		is.True(b.Ledger.Empty())
	})
}

func TestTwoWritersKeepTheEvidenceOfBoth(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := kv.New(kv.Options{})
		a, b := newKeeper(store.Client("a"), "a"), newKeeper(store.Client("b"), "b")
		done := make(chan struct{}, 2)
		for _, k := range []*Keeper{a, b} {
			go func() {
				k.run(t, 10*time.Second)
				done <- struct{}{}
			}()
		}
		time.Sleep(time.Second)
		a.crash(1)
		b.crash(2, 3)
		<-done
		<-done
		c := newKeeper(store.Client("c"), "c")
		c.run(t, time.Second)
		is.True(c.holds(2))
	})
}

func TestMalformedEvidenceIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := kv.New(kv.Options{})
		_, err := store.Client("x").CompareAndSwap(t.Context(), key, 0, []byte("{"), 0)
		is.NoErr(err)
		a := newKeeper(store.Client("a"), "a")
		a.crash(1, 2, 3)
		a.run(t, time.Second)
		b := newKeeper(store.Client("b"), "b")
		b.run(t, time.Second)
		is.True(b.holds(2))
	})
}

func TestSavedEvidenceFitsTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := kv.New(kv.Options{})
		a := newKeeper(store.Client("a"), "a")
		segments := make([]uint64, 32)
		for n := range 300 {
			for i := range segments {
				segments[i] = 1<<40 + uint64(n*len(segments)+i) //nolint:gosec // not negative
			}
			engine := endpoint.Key{ID: fmt.Sprint("other-", n)}
			for range 32 {
				a.Ledger.Lost(time.Now(), engine, "llm", segments, time.Time{})
				segments[0]++
			}
			a.Ledger.Crashed(time.Now(), engine)
		}
		time.Sleep(time.Second)
		a.crash(1, 2, 3)
		value, err := a.encode()
		is.NoErr(err)
		is.True(len(value) <= maxValueBytes)
		a.run(t, time.Second)
		b := newKeeper(store.Client("b"), "b")
		b.run(t, time.Second)
		is.True(b.holds(2)) // the latest reports are kept
	})
}

// Guards against a value that the store refuses: the bound on reports alone allows larger ones.
func TestReportsBeyondTheLargestValueAreNotSaved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := newKeeper(kv.New(kv.Options{}).Client("a"), "a")
		for n := range 200 {
			engine := endpoint.Key{ID: fmt.Sprintf("other-%01000d", n)}
			a.Ledger.Lost(time.Now(), engine, "llm", []uint64{1<<40 + uint64(n)}, time.Time{}) //nolint:gosec // not negative
			a.Ledger.Crashed(time.Now(), engine)
		}
		time.Sleep(time.Second)
		a.crash(1, 2, 3)
		all, err := peer.EncodeEvidence(a.Ledger.Snapshot(time.Now(), maxReports))
		is.NoErr(err)
		is.True(len(all)*4/3 > maxValueBytes) // in base64
		value, err := a.encode()
		is.NoErr(err)
		is.True(len(value) <= maxValueBytes)
		a.run(t, time.Second)
		b := newKeeper(a.Store, "b")
		b.run(t, time.Second)
		is.True(b.holds(2)) // the latest reports are kept
	})
}

func TestOnlyTheWriterWritesEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := newKeeper(kv.New(kv.Options{}).Client("a"), "a")
		writes := false
		a.Writes = func() bool { return writes }
		a.crash(1, 2, 3)
		a.run(t, time.Second)
		_, err := a.Store.Get(t.Context(), key)
		is.True(errors.Is(err, backing.ErrNotFound))
		writes = true // as when the leader is lost
		a.run(t, time.Second)
		_, err = a.Store.Get(t.Context(), key)
		is.NoErr(err)
	})
}

// eraStore is a store that can be restored.
type eraStore struct {
	backing.Store
	backing.Eras
}

// Guards against evidence that a restored store has lost and nobody writes again.
func TestEvidenceIsWrittenAgainToRestoredStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := kv.New(kv.Options{})
		copied := store.Copy()
		client := &eraStore{Store: store.Client("a")}
		client.Observe(1)
		a := newKeeper(client, "a")
		done := make(chan struct{})
		go func() {
			defer close(done)
			a.run(t, 10*time.Second)
		}()
		a.crash(1, 2, 3)
		time.Sleep(time.Second)
		store.Restore(copied)
		client.Observe(2)
		<-done
		b := newKeeper(store.Client("b"), "b")
		b.run(t, time.Second)
		is.True(b.holds(2))
		is.True(len(store.Record()) <= 4) // at most one a crash, and one since the restoration
	})
}
