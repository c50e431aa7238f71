package control

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/record"
)

// stage is the stage of an ordered endpoint as recorded in the store.
type stage string

// Stages in the order in which an endpoint passes through them. stageIntended and
// stageOrdered may also be followed directly by stageDraining.
const (
	// stageIntended means that the order may have been sent to the platform.
	stageIntended stage = "intended"
	// stageOrdered means that the platform has accepted the order.
	stageOrdered stage = "ordered"
	// stageRunning means that the endpoint is in the configuration.
	stageRunning stage = "running"
	// stageDraining means that the endpoint is to get no new requests.
	stageDraining stage = "draining"
	// stageEmptying means that the configuration says so. Once each entry host uses
	// it, the endpoint is returned as soon as it is idle.
	stageEmptying stage = "emptying"
	// stageReturning means that the return may have been sent to the platform.
	stageReturning stage = "returning"
)

// poolOrder is the record of one ordered endpoint.
type poolOrder struct {
	// ID is the idempotency key of the order at the platform and the name of the
	// endpoint resource.
	ID     string `json:"id"`
	Domain string `json:"domain"`
	Stage  stage  `json:"stage"`
	// Ordered is the time at which the order was decided.
	Ordered time.Time `json:"ordered"`
	// Since is the time at which the current stage began.
	Since time.Time `json:"since"`
}

// poolOrders is the stored record of a pool's orders.
type poolOrders struct {
	// Fence is the fencing token of the lease under which the record was claimed.
	Fence int64 `json:"fence"`
	// Next is the sequence number of the most recent order.
	Next   int64       `json:"next"`
	Orders []poolOrder `json:"orders"`
}

// clone returns a copy that does not share Orders.
func (o poolOrders) clone() poolOrders {
	o.Orders = slices.Clone(o.Orders)
	return o
}

// errShardLost is returned if a later owner of the lease has claimed the record.
var errShardLost = errors.New("shard of control work is owned by another host")

// claimRecord loads the record and writes the fencing token into it, so that no
// later write by a previous owner of the lease succeeds. It does nothing if the
// record is known and has the token already.
func claimRecord(ctx context.Context, r *record.Record[poolOrders], fence int64) error {
	if r.Loaded() && r.Value().Fence == fence {
		return nil
	}
	if err := r.Load(ctx); err != nil {
		return err
	}
	if r.Value().Fence > fence {
		return errShardLost
	}
	next := r.Value().clone()
	next.Fence = fence
	return r.Swap(ctx, next)
}
