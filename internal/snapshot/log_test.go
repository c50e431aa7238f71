package snapshot

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/resource"
	"github.com/acacialink/acacialink/internal/standin/kv"
)

func newTestLog(store backing.Store) *Log { return NewLog(store, slog.New(slog.DiscardHandler)) }

// addWorkspace is an edit that fails the write if the workspace exists, so
// that a change accepted twice is noticed.
func addWorkspace(name string, padding int) Edit {
	return func(v *View) (Change, error) {
		if _, ok := v.Workspace(name); ok {
			return Change{}, errors.Errorf("%s exists", name)
		}
		spec := resource.WorkspaceSpec{RateTokens: 1, Models: []string{strings.Repeat("m", padding)}}
		return Change{Items: []Item{item(resource.KindWorkspace, name, spec)}}, nil
	}
}

func TestLostAnswerIsSettledByReadingBack(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := kv.New(kv.Options{})
		l := newTestLog(store)
		store.LoseNext(1)
		s, revision, err := l.Append(t.Context(), Empty(), addWorkspace("w", 0))
		is.NoErr(err)
		is.Equal(revision, resource.Revision(1))
		_, ok := s.View.Workspace("w")
		is.True(ok)
	})
}

func TestOwnWriteIsRecognisedUnderLaterWrites(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := kv.New(kv.Options{})
		slow := store.Client("slow")
		slow.LoseNext(1)
		slow.SetDelay(100 * time.Millisecond)
		done := make(chan error)
		go func() {
			_, _, err := newTestLog(slow).Append(t.Context(), Empty(), addWorkspace("w", 0))
			done <- err
		}()
		time.Sleep(160 * time.Millisecond) // The write took effect, its answer is lost.
		_, _, err := newTestLog(store).Append(t.Context(), Empty(), addWorkspace("other", 0))
		is.NoErr(err)
		is.NoErr(<-done)
	})
}

func TestStoreDownChangesNothing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	store := kv.New(kv.Options{})
	store.SetDown(true)
	_, _, err := newTestLog(store).Append(t.Context(), Empty(), addWorkspace("w", 0))
	is.True(errors.Is(err, backing.ErrUnavailable))
}

// logRun is one drawn run of several writers on one log.
type logRun struct {
	writers, changes, padding int
	lose                      float64
	seed                      uint64
	forgetMark                bool
}

// result is what one writer was told.
type result struct {
	name     string
	revision resource.Revision
	err      error
}

func (r logRun) run(t *testing.T) (results []result, final *View, lagging *View, err error) {
	synctest.Test(t, func(t *testing.T) {
		store := kv.New(kv.Options{Seed: r.seed})
		store.LoseAnswers(r.lose)
		var mu sync.Mutex
		var wg sync.WaitGroup
		for w := range r.writers {
			wg.Go(func() {
				l, v := newTestLog(store), Empty()
				l.forgetMark = r.forgetMark
				for i := range r.changes {
					name := fmt.Sprintf("w%d-%d", w, i)
					ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
					s, revision, err := l.Append(ctx, v, addWorkspace(name, r.padding))
					cancel()
					if err == nil {
						v = s.View
					}
					mu.Lock()
					results = append(results, result{name: name, revision: revision, err: err})
					mu.Unlock()
				}
			})
		}
		time.Sleep(time.Millisecond)
		early, _ := newTestLog(store).Read(t.Context(), Empty(), &Cursor{})
		wg.Wait()
		store.LoseAnswers(0)
		var s Step
		if s, err = newTestLog(store).Read(t.Context(), Empty(), &Cursor{}); err != nil {
			return
		}
		final = s.View
		if early.View == nil {
			early.View = Empty()
		}
		s, err = newTestLog(store).Read(t.Context(), early.View, &Cursor{})
		lagging = s.View
	})
	return results, final, lagging, err
}

// fault returns what is wrong with a run, empty for nothing: each change
// answered as accepted is in the log once, at the revision that was answered,
// and one refused is not there.
func (r logRun) fault(t *testing.T) string {
	results, final, lagging, err := r.run(t)
	if err != nil {
		return err.Error()
	}
	accepted := 0
	for _, got := range results {
		res, ok := final.Get(resource.KindWorkspace, got.name)
		switch {
		case got.err == nil && (!ok || res.Revision != got.revision):
			return fmt.Sprintf("%s accepted at %d, found %v at %d", got.name, got.revision, ok, res.Revision)
		case got.err != nil && ok && !errors.Is(got.err, backing.ErrUnknown):
			return fmt.Sprintf("%s refused with %v, but it is there", got.name, got.err)
		}
		if ok {
			accepted++
		}
	}
	if int(final.Revision()) != accepted {
		return fmt.Sprintf("revision %d after %d changes", final.Revision(), accepted)
	}
	if lagging.Revision() != final.Revision() || !maps.Equal(contents(lagging), contents(final)) {
		return "a lagging reader has another configuration"
	}
	return ""
}

func TestAcceptedOnceUnderLostAnswers(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		r := logRun{
			writers: rapid.IntRange(1, 4).Draw(rt, "writers"),
			changes: rapid.IntRange(1, 25).Draw(rt, "changes"),
			padding: rapid.SampledFrom([]int{0, 500, 6000}).Draw(rt, "padding"),
			lose:    rapid.SampledFrom([]float64{0, 0.2, 0.6}).Draw(rt, "lose"),
			seed:    rapid.Uint64().Draw(rt, "seed"),
		}
		if fault := r.fault(t); fault != "" {
			rt.Fatal(fault)
		}
	})
}

func TestForgottenWriterMarkIsNoticed(t *testing.T) {
	t.Parallel()
	// Which write loses its answer depends on how the writers are scheduled,
	// so one run alone may have nothing to notice.
	for seed := range uint64(20) {
		r := logRun{writers: 2, changes: 10, lose: 0.2, seed: seed}
		if fault := r.fault(t); fault != "" {
			t.Fatal(fault)
		}
		r.forgetMark = true
		if r.fault(t) != "" {
			return
		}
	}
	t.Fatal("the broken log was not noticed")
}

func TestFoldKeepsObjectsBoundedAndBelowOneMegabyte(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	store := kv.New(kv.Options{})
	l, v := newTestLog(store), Empty()
	for i := range 400 {
		s, _, err := l.Append(t.Context(), v, addWorkspace(fmt.Sprintf("w%d", i), 3000))
		is.NoErr(err)
		v = s.View
	}
	objects, _, err := store.List(t.Context(), "config/")
	is.NoErr(err)
	segments := 0
	for _, kv := range objects {
		is.True(len(kv.Value) < backing.MaxValueBytes)
		if strings.HasPrefix(kv.Key, segmentPrefix) {
			segments++
		}
	}
	is.True(segments <= maxSegments)
	s, err := l.Read(t.Context(), Empty(), &Cursor{})
	is.NoErr(err)
	is.Equal(s.View.Count(resource.KindWorkspace), 400)
}
