package duty

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/observe"
)

// Reporter takes usage reports.
type Reporter interface {
	// Report is idempotent for equal counts. ErrFenced: a later holder reported.
	Report(ctx context.Context, holder string, fence, window int64, counts Counts) error
}

const (
	// countsPrefix is where each host keeps its counts of a window, so that
	// they outlive it; sealedPrefix holds what a window's report says.
	countsPrefix = "acacialink/usage/"
	sealedPrefix = "acacialink/sealed/"
	// recordTTL is how long counts and seals stay in the store.
	recordTTL = 2 * time.Minute
	// saveEvery is the time between writes of a host's counts: what is lost
	// when all hosts die at once.
	saveEvery = 200 * time.Millisecond
	// callTimeout bounds one call of the store or the platform's API.
	callTimeout = time.Second
)

// Saver writes counts to the store: those of all hosts that it has heard while
// it holds the duties, and its own while it hears no holder.
type Saver struct {
	// Leads says whether this host holds the duties, Covered whether another
	// one does that hears this host.
	Leads, Covered func() bool

	Counter     *Counter
	Store       backing.Store
	Incarnation string
	Log         *slog.Logger

	leases    map[int64]backing.LeaseID
	revisions map[int64]backing.Revision
	saved     map[int64]string
}

// Run saves until ctx ends, and then once more.
func (s *Saver) Run(ctx context.Context) {
	s.init()
	for backing.Pause(ctx, saveEvery) {
		s.save(ctx)
	}
	last, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	s.save(last)
}

func (s *Saver) init() {
	s.leases, s.revisions, s.saved = make(map[int64]backing.LeaseID), make(map[int64]backing.Revision), make(map[int64]string)
}

func (s *Saver) save(ctx context.Context) {
	leads := s.Leads()
	if !leads && s.Covered() {
		return
	}
	for k := range s.Counter.Recent() {
		text, err := json.Marshal(s.counts(k, leads))
		if err != nil {
			s.Log.Error("usage counts cannot be encoded", observe.FieldError, err)
			continue
		}
		if s.saved[k] == string(text) {
			continue
		}
		if err := s.put(ctx, k, text); err != nil {
			s.Log.Warn("usage counts were not saved", observe.FieldWindow, k, observe.FieldError, err)
			return
		}
		s.saved[k] = string(text)
	}
	oldest := s.Counter.Current() - keptWindows
	for k := range s.saved {
		if k < oldest {
			delete(s.saved, k)
			delete(s.leases, k)
			delete(s.revisions, k)
		}
	}
}

// counts are those of a window, by incarnation.
func (s *Saver) counts(k int64, leads bool) map[string]Counts {
	all := s.Counter.Known(s.Incarnation, k)
	if leads {
		return all
	}
	if own := all[s.Incarnation]; own != nil {
		return map[string]Counts{s.Incarnation: own}
	}
	return nil
}

func (s *Saver) put(ctx context.Context, k int64, text []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if s.leases[k] == 0 {
		lease, err := s.Store.Grant(ctx, recordTTL)
		if err != nil {
			return errors.Wrap(err, "lease for usage counts")
		}
		s.leases[k] = lease.ID
	}
	key := countsKey(k) + s.Incarnation
	revision, err := s.Store.CompareAndSwap(ctx, key, s.revisions[k], text, s.leases[k])
	switch {
	case err == nil:
		s.revisions[k] = revision
	case errors.Is(err, backing.ErrLeaseExpired):
		delete(s.leases, k)
	case errors.Is(err, backing.ErrConflict):
		// Nobody else writes this key: an earlier write whose answer was lost.
		kv, lookErr := s.Store.Get(ctx, key)
		if lookErr == nil || errors.Is(lookErr, backing.ErrNotFound) {
			s.revisions[k] = kv.Revision
		}
	}
	return errors.Wrap(err, "write usage counts")
}

func countsKey(k int64) string { return fmt.Sprintf("%s%d/", countsPrefix, k) }

// reporting reports windows, once each, while this host holds the duty.
type reporting struct {
	counter     *Counter
	store       backing.Store
	reporter    Reporter
	host        string
	incarnation string
	settle      time.Duration
	log         *slog.Logger
	// done are the windows that were reported by this process.
	done map[int64]bool
	// first is the first window that this process reports.
	first int64
}

// step reports the windows that ended at least settle ago and are not yet
// reported.
func (r *reporting) step(ctx context.Context, fence int64) error {
	last := r.counter.Window(r.counter.now().Add(-r.settle)) - 1
	for k := max(r.first, last-keptWindows/2); k <= last; k++ {
		if r.done[k] {
			continue
		}
		counts, err := r.seal(ctx, k)
		if err != nil {
			return errors.Wrapf(err, "seal usage window %d", k)
		}
		if err := r.reporter.Report(ctx, r.host, fence, k, counts); err != nil {
			return errors.Wrapf(err, "report usage window %d", k)
		}
		r.done[k] = true
		r.log.Info("usage reported", observe.FieldWindow, k, observe.FieldFence, fence, "counts", counts)
	}
	for k := range r.done {
		if k < last-2*keptWindows {
			delete(r.done, k)
		}
	}
	return nil
}

// seal fixes the counts of a window in the store before they are reported, so
// that every holder reports the same.
func (r *reporting) seal(ctx context.Context, k int64) (Counts, error) {
	key := fmt.Sprintf("%s%d", sealedPrefix, k)
	sealed, err := r.sealed(ctx, key)
	if err == nil || !errors.Is(err, backing.ErrNotFound) {
		return sealed, err
	}
	counts, err := r.collect(ctx, k)
	if err != nil {
		return nil, err
	}
	text, err := json.Marshal(counts)
	if err != nil {
		return nil, errors.Wrap(err, "encode usage counts")
	}
	lease, err := r.store.Grant(ctx, recordTTL)
	if err != nil {
		return nil, errors.Wrap(err, "lease for a sealed window")
	}
	if _, err := r.store.CompareAndSwap(ctx, key, 0, text, lease.ID); err != nil {
		// Another holder sealed it, or the answer was lost: what stands counts.
		return r.sealed(ctx, key)
	}
	return counts, nil
}

func (r *reporting) sealed(ctx context.Context, key string) (Counts, error) {
	kv, err := r.store.Get(ctx, key)
	if err != nil {
		return nil, errors.Wrap(err, "read a sealed window")
	}
	var counts Counts
	return counts, errors.Wrap(json.Unmarshal(kv.Value, &counts), "decode a sealed window")
}

// collect adds up what all hosts counted: what peers said and what lies in the
// store, the larger of both for each incarnation.
func (r *reporting) collect(ctx context.Context, k int64) (Counts, error) {
	all := r.counter.Known(r.incarnation, k)
	items, _, err := r.store.List(ctx, countsKey(k))
	if err != nil {
		return nil, errors.Wrap(err, "list usage counts")
	}
	for _, kv := range items {
		var saved map[string]Counts
		if err := json.Unmarshal(kv.Value, &saved); err != nil {
			r.log.Warn("usage counts cannot be read", "key", kv.Key, observe.FieldError, err)
			continue
		}
		for inc, counts := range saved {
			all[inc] = all[inc].max(counts)
		}
	}
	return sum(all), nil
}
