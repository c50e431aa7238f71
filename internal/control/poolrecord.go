package control

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/platform"
)

// stage is how far an ordered endpoint is, as the store holds it.
type stage string

// The stages, in their order. An endpoint may go from any of the first three
// to draining.
const (
	// stageIntended: the order may or may not have reached the platform.
	stageIntended stage = "intended"
	// stageOrdered: the platform has the order.
	stageOrdered stage = "ordered"
	// stageRunning: the endpoint is in the configuration.
	stageRunning stage = "running"
	// stageDraining: the endpoint takes no new work and is returned once idle.
	stageDraining stage = "draining"
	// stageReturning: the return may or may not have reached the platform.
	stageReturning stage = "returning"
)

// poolOrder is one ordered endpoint. Its ID is the idempotency key towards the
// platform and the name of the endpoint resource.
type poolOrder struct {
	ID      string    `json:"id"`
	Domain  string    `json:"domain"`
	Stage   stage     `json:"stage"`
	Ordered time.Time `json:"ordered"`
	// Since is when the stage began.
	Since time.Time `json:"since"`
}

// poolRecord is what the store holds of a pool's orders.
type poolRecord struct {
	Fence  int64       `json:"fence"`
	Mark   string      `json:"mark"`
	Next   int64       `json:"next"`
	Orders []poolOrder `json:"orders"`
}

func (r *poolRecord) clone() *poolRecord {
	c := *r
	c.Orders = slices.Clone(r.Orders)
	return &c
}

// errLostPiece means that another holder has written the record.
var errLostPiece = errors.New("piece of control work is held by another host")

// poolLog reads and writes one pool's record under a fencing number.
type poolLog struct {
	store    platform.Store
	key      string
	marks    func() string
	fence    int64
	record   *poolRecord
	revision platform.Revision
}

// load reads the record and writes the fencing number into it, so that no
// write of an earlier holder succeeds afterwards.
func (l *poolLog) load(ctx context.Context, fence int64) error {
	if l.record != nil && l.fence == fence {
		return nil
	}
	l.record = nil
	r, revision, err := l.read(ctx)
	if err != nil {
		return err
	}
	if r.Fence > fence {
		return errLostPiece
	}
	l.fence = fence
	l.revision = revision
	return l.swap(ctx, r.clone())
}

func (l *poolLog) read(ctx context.Context) (*poolRecord, platform.Revision, error) {
	kv, err := l.store.Get(ctx, l.key)
	if errors.Is(err, platform.ErrNotFound) {
		return &poolRecord{}, 0, nil
	}
	if err != nil {
		return nil, 0, errors.Wrap(err, "read pool record")
	}
	r := &poolRecord{}
	if err := json.Unmarshal(kv.Value, r); err != nil {
		return nil, 0, errors.Wrap(err, "decode pool record")
	}
	return r, kv.Revision, nil
}

// swap writes the next record. A lost answer is settled by reading back; after
// any other error the record is loaded again.
func (l *poolLog) swap(ctx context.Context, next *poolRecord) error {
	next.Fence = l.fence
	next.Mark = l.marks()
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode pool record")
	}
	revision, err := l.store.CompareAndSwap(ctx, l.key, l.revision, value, 0)
	if err == nil {
		l.record, l.revision = next, revision
		return nil
	}
	l.record = nil
	r, revision, readErr := l.read(ctx)
	if readErr == nil && r.Mark == next.Mark {
		l.record, l.revision = next, revision
		return nil
	}
	return errors.Wrap(err, "write pool record")
}
