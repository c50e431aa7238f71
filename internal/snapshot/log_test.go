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

// addWorkspace returns an edit that fails if the workspace exists, so that a
// change applied twice is detected.
func addWorkspace(name string, padding int) Edit {
	return func(v *View) (Change, error) {
		if _, ok := v.Workspace(name); ok {
			return Change{}, errors.Errorf("workspace %s already exists", name)
		}
		spec := resource.WorkspaceSpec{RateTokens: 1, Models: []string{strings.Repeat("m", padding)}}
		return Change{Items: []Item{item(resource.KindWorkspace, name, spec)}}, nil
	}
}

func TestAppendReadsBackAfterLostAnswer(t *testing.T) {
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

func TestAppendRecognizesOwnWriteAfterLaterWrites(t *testing.T) {
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
		time.Sleep(160 * time.Millisecond) // The write has taken effect and its answer is lost.
		_, _, err := newTestLog(store).Append(t.Context(), Empty(), addWorkspace("other", 0))
		is.NoErr(err)
		is.NoErr(<-done)
	})
}

func TestAppendReturnsUnavailableWhenStoreIsDown(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	store := kv.New(kv.Options{})
	store.SetDown(true)
	_, _, err := newTestLog(store).Append(t.Context(), Empty(), addWorkspace("w", 0))
	is.True(errors.Is(err, backing.ErrUnavailable))
}

// logRun is one generated run of several concurrent writers on one log.
type logRun struct {
	writers, changes, padding int
	loseRate                  float64
	seed                      uint64
	ignoreWriteIDs            bool
}

// appendResult is the result of one append.
type appendResult struct {
	name     string
	revision resource.Revision
	err      error
}

func (r logRun) run(t *testing.T) (results []appendResult, final *View, lagging *View, err error) {
	synctest.Test(t, func(t *testing.T) {
		store := kv.New(kv.Options{Seed: r.seed})
		store.LoseAnswers(r.loseRate)
		var mu sync.Mutex
		var wg sync.WaitGroup
		for w := range r.writers {
			wg.Go(func() {
				l, v := newTestLog(store), Empty()
				l.ignoreWriteIDs = r.ignoreWriteIDs
				for i := range r.changes {
					name := fmt.Sprintf("w%d-%d", w, i)
					ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
					s, revision, err := l.Append(ctx, v, addWorkspace(name, r.padding))
					cancel()
					if err == nil {
						v = s.View
					}
					mu.Lock()
					results = append(results, appendResult{name: name, revision: revision, err: err})
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

// violation describes the first violation in a run, or is empty if there is none:
// each change reported as accepted is in the log once, at the reported revision,
// and a rejected change is not in the log.
func (r logRun) violation(t *testing.T) string {
	results, final, lagging, err := r.run(t)
	if err != nil {
		return err.Error()
	}
	accepted := 0
	for _, got := range results {
		found, exists := final.Get(resource.KindWorkspace, got.name)
		switch {
		case got.err == nil && (!exists || found.Revision != got.revision):
			return fmt.Sprintf("%s accepted at revision %d, found %v at revision %d", got.name, got.revision, exists, found.Revision)
		case got.err != nil && exists && !errors.Is(got.err, backing.ErrUnknown):
			return fmt.Sprintf("%s rejected with %v, but present in the log", got.name, got.err)
		}
		if exists {
			accepted++
		}
	}
	if int(final.Revision()) != accepted {
		return fmt.Sprintf("revision %d after %d changes", final.Revision(), accepted)
	}
	if lagging.Revision() != final.Revision() || !maps.Equal(workspaceSpecs(lagging), workspaceSpecs(final)) {
		return "a lagging reader has a different configuration"
	}
	return ""
}

func TestChangesAcceptedOnceUnderLostAnswers(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		r := logRun{
			writers:  rapid.IntRange(1, 4).Draw(rt, "writers"),
			changes:  rapid.IntRange(1, 25).Draw(rt, "changes"),
			padding:  rapid.SampledFrom([]int{0, 500, 6000}).Draw(rt, "padding"),
			loseRate: rapid.SampledFrom([]float64{0, 0.2, 0.6}).Draw(rt, "lose"),
			seed:     rapid.Uint64().Draw(rt, "seed"),
		}
		if violation := r.violation(t); violation != "" {
			rt.Fatal(violation)
		}
	})
}

func TestLogCheckDetectsIgnoredWriteIDs(t *testing.T) {
	t.Parallel()
	// Which write loses its answer depends on the scheduling of the writers, so
	// a single run may contain no violation.
	for seed := range uint64(20) {
		r := logRun{writers: 2, changes: 10, loseRate: 0.2, seed: seed}
		if violation := r.violation(t); violation != "" {
			t.Fatal(violation)
		}
		r.ignoreWriteIDs = true
		if r.violation(t) != "" {
			return
		}
	}
	t.Fatal("ignored write IDs were not detected")
}

func TestCompactionBoundsObjectCountAndSize(t *testing.T) {
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
