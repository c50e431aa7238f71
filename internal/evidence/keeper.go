// Package evidence keeps in the store what hosts know of segments that crash engines, so
// that it outlives a loss of all hosts and reaches hosts that start.
package evidence

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/observe"
	"github.com/acacialink/acacialink/internal/peer"
	"github.com/acacialink/acacialink/internal/suspect"
)

const (
	// key is the store key of the evidence of all hosts.
	key = "acacialink/suspects"
	// saveInterval is the least time between writes. Evidence of at most this time is lost
	// if all hosts crash at once.
	saveInterval = 300 * time.Millisecond
	// retryInterval is the time after a failed call.
	retryInterval = time.Second
	// callTimeout bounds one call.
	callTimeout = time.Second
	// maxReports bounds the reports of crashes that are saved, maxValueBytes their size.
	maxReports    = 2048
	maxValueBytes = 256 << 10
)

// Keeper reads the evidence once when its host starts, and writes it while its host is the
// writer. Its host serves without the store.
type Keeper struct {
	Ledger *suspect.Ledger
	Store  backing.Store
	// Writes reports whether this host writes the evidence of all hosts. If two do at a
	// time, each adds what the other wrote.
	Writes func() bool
	// Now returns the time of day, which hosts agree on.
	Now func() time.Time
	Log *slog.Logger

	// revision is that of the evidence read or written last, version the ledger's at the
	// time of that write.
	revision backing.Revision
	version  int64
	// stored is set once evidence was in the store, in era or before.
	stored bool
	era    int64
}

// savedEvidence is the value in the store.
type savedEvidence struct {
	// SavedAtMillis is the time of the write, in Unix milliseconds.
	SavedAtMillis int64 `json:"saved_at_ms"`
	// Evidence is that of peer.EncodeEvidence; ages are those at the time of the write.
	Evidence []byte `json:"evidence"`
}

// Run reads and writes evidence until ctx is done.
func (k *Keeper) Run(ctx context.Context) {
	for {
		before := k.Ledger.Version()
		err := k.read(ctx)
		if err == nil {
			if before == 0 {
				k.version = k.Ledger.Version() // only what was read
			}
			break
		}
		k.Log.Info("evidence on segments was not read", observe.FieldError, err)
		if !backing.Pause(ctx, retryInterval) {
			return
		}
	}
	k.era = backing.EraOf(k.Store)
	for backing.Pause(ctx, saveInterval) {
		version := k.Ledger.Version()
		lost := k.stored && backing.EraOf(k.Store) != k.era // the store may have been restored to before
		if version == k.version && !lost || !k.Writes() {
			continue
		}
		if err := k.write(ctx, version); err != nil {
			k.Log.Info("evidence on segments was not written", observe.FieldError, err)
			if !backing.Pause(ctx, retryInterval) {
				return
			}
		}
	}
}

// read adds the evidence in the store to the ledger.
func (k *Keeper) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	kv, err := k.Store.Get(ctx, key)
	if errors.Is(err, backing.ErrNotFound) {
		k.revision = 0
		return nil
	}
	if err != nil {
		return err
	}
	k.revision, k.stored = kv.Revision, true
	var saved savedEvidence
	batch, err := decode(kv.Value, &saved)
	if err != nil {
		k.Log.Error("evidence on segments in the store is malformed", observe.FieldError, err)
		return nil // the next write replaces it
	}
	age := max(0, k.Now().Sub(time.UnixMilli(saved.SavedAtMillis)))
	k.Ledger.Restore(time.Now(), age, batch)
	k.Log.Info("evidence on segments read", "reports", len(batch.Reports.Records), "answers", len(batch.Survivals.Records), "age_ms", age.Milliseconds())
	return nil
}

func decode(value []byte, saved *savedEvidence) (suspect.Batch, error) {
	if err := json.Unmarshal(value, saved); err != nil {
		return suspect.Batch{}, errors.Wrap(err, "decode saved evidence")
	}
	return peer.DecodeEvidence(saved.Evidence)
}

// encode returns the value for the store, with as many reports as fit.
func (k *Keeper) encode() ([]byte, error) {
	for limit := maxReports; ; limit /= 2 {
		batch, err := peer.EncodeEvidence(k.Ledger.Snapshot(time.Now(), limit))
		if err != nil {
			return nil, errors.Wrap(err, "encode evidence")
		}
		value, err := json.Marshal(savedEvidence{SavedAtMillis: k.Now().UnixMilli(), Evidence: batch})
		if err != nil {
			return nil, errors.Wrap(err, "encode saved evidence")
		}
		if len(value) <= maxValueBytes || limit == 0 {
			return value, nil
		}
	}
}

// write replaces the evidence in the store by that of the ledger, which has the version.
func (k *Keeper) write(ctx context.Context, version int64) error {
	value, err := k.encode()
	if err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	era := backing.EraOf(k.Store)
	revision, err := k.Store.CompareAndSwap(callCtx, key, k.revision, value, 0)
	if err != nil {
		if !errors.Is(err, backing.ErrUnavailable) {
			// Another host has written, or this write may have taken effect.
			err = errors.Wrap(k.read(ctx), "read evidence again")
		}
		return err
	}
	k.revision, k.version, k.stored, k.era = revision, version, true, era
	return nil
}
