package leader

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

// Reporter sends usage reports to the platform.
type Reporter interface {
	// Report sends the counts of a window. It is idempotent for equal counts. It
	// returns backing.ErrFenced if a later leader has reported.
	Report(ctx context.Context, leader string, fence, window int64, counts Counts) error
}

const (
	// countsPrefix is the store prefix of the counts by window and incarnation.
	// They are stored so that they survive the loss of their host.
	countsPrefix = "acacialink/usage/"
	// sealedPrefix is the store prefix of the final counts of each window.
	sealedPrefix = "acacialink/sealed/"
	// recordTTL is the TTL of counts and sealed counts in the store.
	recordTTL = 2 * time.Minute
	// saveInterval is the time between writes of a host's counts. Counts of at
	// most this time are lost if all hosts crash at once.
	saveInterval = 200 * time.Millisecond
	// callTimeout bounds one call to the store or to the API of the platform.
	callTimeout = time.Second
)

// CountsWriter writes usage counts to the store. On the leader it writes the
// counts received from all hosts. On another host it writes that host's own
// counts while no leader receives them.
type CountsWriter struct {
	// IsLeader reports whether this host is the leader. ReceivedByLeader reports
	// whether another host is the leader and receives the counts of this host.
	IsLeader, ReceivedByLeader func() bool

	Counter *Counter
	Store   backing.Store
	// Incarnation identifies this process; its counts are stored under it.
	Incarnation string
	Log         *slog.Logger

	// lease is the store lease of the keys written last, granted at leaseAt.
	lease   backing.LeaseID
	leaseAt time.Time
	// receivedAt is when the leader was last seen to receive the counts. received
	// holds the own counts of each window at receivedSince.
	receivedAt, receivedSince time.Time
	// savedAt is when the counts were last written.
	savedAt  time.Time
	received map[int64]string
	// revisions holds the last known revision of each window's key.
	revisions map[int64]backing.Revision
	// saved holds the last value written for each window, in the era of the store.
	saved map[int64]string
	era   int64
}

// Run writes the counts periodically until ctx is canceled, and then once more.
func (w *CountsWriter) Run(ctx context.Context) {
	w.init()
	for backing.Pause(ctx, saveInterval) {
		if w.due(time.Now()) {
			w.save(ctx)
		}
	}
	last, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	w.save(last)
}

func (w *CountsWriter) init() {
	w.revisions, w.saved, w.received = make(map[int64]backing.Revision), make(map[int64]string), make(map[int64]string)
	w.era = backing.EraOf(w.Store)
}

// forgetWritten makes the writer write all counts again if the store was restored: it may have
// lost them, also those that another leader wrote for this host.
func (w *CountsWriter) forgetWritten() {
	era := backing.EraOf(w.Store)
	if era == w.era {
		return
	}
	w.era = era
	clear(w.saved)
	clear(w.received)
	clear(w.revisions)
}

const (
	// leaderGap is how long a host waits for the next leader before it writes its
	// counts itself. A change of leader takes about as long, and all hosts would
	// write at once.
	leaderGap = 1500 * time.Millisecond
	// ownSaveInterval is the time between writes of a host that is not the leader.
	ownSaveInterval = time.Second
	// receivedDelay is the time after which counts that this host had while the
	// leader received them are with the leader, and in the store.
	receivedDelay = time.Second
)

// due reports whether counts are to be written by this host: it is the leader, or no
// leader has received them for leaderGap. It records what the leader has received.
func (w *CountsWriter) due(now time.Time) bool {
	if w.IsLeader() {
		return true
	}
	if !w.ReceivedByLeader() {
		return now.Sub(w.receivedAt) >= leaderGap && now.Sub(w.savedAt) >= ownSaveInterval
	}
	if now.Sub(w.receivedAt) > 2*saveInterval {
		clear(w.received) // the leader has received nothing for a while
		w.receivedSince = now
	}
	w.receivedAt = now
	if now.Sub(w.receivedSince) >= receivedDelay {
		for window, text := range w.received {
			w.saved[window] = text
		}
		w.receivedSince = now
		for window := range w.Counter.RecentWindows() {
			if text, err := json.Marshal(w.counts(window, false)); err == nil {
				w.received[window] = string(text)
			}
		}
	}
	return false
}

func (w *CountsWriter) save(ctx context.Context) {
	isLeader := w.IsLeader()
	if !isLeader && w.ReceivedByLeader() {
		return
	}
	w.savedAt = time.Now()
	w.forgetWritten()
	for window := range w.Counter.RecentWindows() {
		text, err := json.Marshal(w.counts(window, isLeader))
		if err != nil {
			w.Log.Error("encoding usage counts failed", observe.FieldError, err)
			continue
		}
		if w.saved[window] == string(text) {
			continue
		}
		if err := w.put(ctx, window, text); err != nil {
			w.Log.Warn("writing usage counts failed", observe.FieldWindow, window, observe.FieldError, err)
			return
		}
		w.saved[window] = string(text)
	}
	oldest := w.Counter.CurrentWindow() - retainedWindows
	for window := range w.saved {
		if window < oldest {
			delete(w.saved, window)
			delete(w.received, window)
			delete(w.revisions, window)
		}
	}
}

// counts returns the counts of a window to write, by incarnation.
func (w *CountsWriter) counts(window int64, isLeader bool) map[string]Counts {
	all := w.Counter.CountsByIncarnation(w.Incarnation, window)
	if isLeader {
		return all
	}
	if own := all[w.Incarnation]; own != nil {
		return map[string]Counts{w.Incarnation: own}
	}
	return nil
}

func (w *CountsWriter) put(ctx context.Context, window int64, text []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if w.lease == 0 || time.Since(w.leaseAt) > recordTTL/2 {
		lease, err := w.Store.Grant(ctx, recordTTL)
		if err != nil {
			return errors.Wrap(err, "grant lease for usage counts")
		}
		w.lease, w.leaseAt = lease.ID, time.Now()
	}
	key := countsKey(window) + w.Incarnation
	revision, err := w.Store.CompareAndSwap(ctx, key, w.revisions[window], text, w.lease)
	switch {
	case err == nil:
		w.revisions[window] = revision
	case errors.Is(err, backing.ErrLeaseExpired):
		w.lease = 0
	case errors.Is(err, backing.ErrConflict):
		// No other process writes this key, so the conflict comes from an earlier
		// write whose response was lost.
		kv, getErr := w.Store.Get(ctx, key)
		if getErr == nil || errors.Is(getErr, backing.ErrNotFound) {
			w.revisions[window] = kv.Revision
		}
	}
	return errors.Wrap(err, "write usage counts")
}

func countsKey(window int64) string { return fmt.Sprintf("%s%d/", countsPrefix, window) }

// usageReporter reports each window once while this host is the leader.
type usageReporter struct {
	counter     *Counter
	store       backing.Store
	reporter    Reporter
	host        string
	incarnation string
	// settlingDelay is the time from the end of a window until its counts are
	// collected.
	settlingDelay time.Duration
	log           *slog.Logger
	eras          eraLog
	// reported is the set of windows that this process has reported, or leaves out.
	reported map[int64]bool
	// sealed holds the counts of the windows that this process has read or sealed: the
	// store may lose them.
	sealed map[int64]Counts
	// ledSince is since when this process has been the leader without another between.
	ledSince time.Time
	// ledEra is the store's era when it last became the leader.
	ledEra int64
	// firstWindow is the first window that this process reports.
	firstWindow int64
}

// step reports the windows that ended at least settlingDelay ago and are not
// reported yet.
func (r *usageReporter) step(ctx context.Context, fence int64) error {
	last := r.counter.Window(r.counter.now().Add(-r.settlingDelay)) - 1
	begun, err := r.eras.begunBy(ctx)
	if err != nil {
		return err
	}
	for window := max(r.firstWindow, last-retainedWindows/2); window <= last; window++ {
		if r.reported[window] {
			continue
		}
		counts, err := r.seal(ctx, window, begun)
		if errors.Is(err, errMayBeReported) {
			r.reported[window] = true
			r.log.Warn("usage window left out", observe.FieldWindow, window, observe.FieldFence, fence, observe.FieldError, err)
			continue
		}
		if err != nil {
			return errors.Wrapf(err, "seal usage window %d", window)
		}
		if err := r.reporter.Report(ctx, r.host, fence, window, counts); err != nil {
			return errors.Wrapf(err, "report usage window %d", window)
		}
		r.reported[window] = true
		r.log.Info("usage reported", observe.FieldWindow, window, observe.FieldFence, fence, "counts", counts)
	}
	for window := range r.reported {
		if window < last-2*retainedWindows {
			delete(r.reported, window)
			delete(r.sealed, window)
		}
	}
	return nil
}

// errMayBeReported means that a window may have been reported before the store lost its
// final counts. Others must not be reported.
var errMayBeReported = errors.New("may have been reported in an era of the store before this one")

// eraClockMargin covers what clocks of hosts differ by when an era begins.
const eraClockMargin = time.Second

// mayBeReported reports whether another leader may have reported the window before the
// store's era began.
func (r *usageReporter) mayBeReported(window int64, begun time.Time) bool {
	sealedFrom := time.Unix(0, (window+1)*int64(r.counter.window)).Add(r.settlingDelay)
	ledThen := !r.ledSince.IsZero() && sealedFrom.After(r.ledSince.Add(eraClockMargin))
	return !begun.IsZero() && !ledThen && !sealedFrom.After(begun.Add(eraClockMargin))
}

// tookLead records that this process has become the leader, or has become it again in an era of
// the store that began while it was.
func (r *usageReporter) tookLead() {
	notice := r.eras.noticed()
	if r.ledSince.IsZero() || !notice.Led || notice.Era != backing.EraOf(r.store) || notice.Era == r.ledEra {
		r.ledSince = r.counter.now()
	}
	r.ledEra = backing.EraOf(r.store)
}

// seal writes the final counts of a window to the store before they are
// reported, so that every leader reports the same counts. begun is a time by which the
// store's era had begun: the store may have lost what was sealed before.
func (r *usageReporter) seal(ctx context.Context, window int64, begun time.Time) (Counts, error) {
	key := fmt.Sprintf("%s%d", sealedPrefix, window)
	sealed, err := r.readSealed(ctx, key)
	if err == nil {
		r.sealed[window] = sealed
	}
	if err == nil || !errors.Is(err, backing.ErrNotFound) {
		return sealed, err
	}
	counts, known := r.sealed[window]
	if !known && r.mayBeReported(window, begun) {
		return nil, errMayBeReported
	}
	if !known {
		if counts, err = r.collect(ctx, window); err != nil {
			return nil, err
		}
	}
	text, err := json.Marshal(counts)
	if err != nil {
		return nil, errors.Wrap(err, "encode usage counts")
	}
	lease, err := r.store.Grant(ctx, recordTTL)
	if err != nil {
		return nil, errors.Wrap(err, "grant lease for sealed window")
	}
	if _, err := r.store.CompareAndSwap(ctx, key, 0, text, lease.ID); err != nil {
		// Another leader sealed the window, or the response was lost. The stored
		// counts apply.
		if counts, err = r.readSealed(ctx, key); err != nil {
			return nil, err
		}
	}
	r.sealed[window] = counts
	return counts, nil
}

func (r *usageReporter) readSealed(ctx context.Context, key string) (Counts, error) {
	kv, err := r.store.Get(ctx, key)
	if err != nil {
		return nil, errors.Wrap(err, "read sealed window")
	}
	var counts Counts
	return counts, errors.Wrap(json.Unmarshal(kv.Value, &counts), "decode sealed window")
}

// collect returns the total counts of a window over all hosts. For each
// incarnation it uses the larger of the received and the stored counts.
func (r *usageReporter) collect(ctx context.Context, window int64) (Counts, error) {
	all := r.counter.CountsByIncarnation(r.incarnation, window)
	items, _, err := r.store.List(ctx, countsKey(window))
	if err != nil {
		return nil, errors.Wrap(err, "list usage counts")
	}
	for _, kv := range items {
		var saved map[string]Counts
		if err := json.Unmarshal(kv.Value, &saved); err != nil {
			r.log.Warn("decoding usage counts failed", "key", kv.Key, observe.FieldError, err)
			continue
		}
		for inc, counts := range saved {
			all[inc] = all[inc].max(counts)
		}
	}
	return sum(all), nil
}
