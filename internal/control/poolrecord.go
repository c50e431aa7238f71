package control

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/record"
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

// poolOrders is what the store holds of a pool's orders.
type poolOrders struct {
	Fence  int64       `json:"fence"`
	Next   int64       `json:"next"`
	Orders []poolOrder `json:"orders"`
}

func (o poolOrders) clone() poolOrders {
	o.Orders = slices.Clone(o.Orders)
	return o
}

// errLostPiece means that a later holder has written the record.
var errLostPiece = errors.New("piece of control work is held by another host")

// claim loads the record, unless it is known, and writes the fencing number
// into it, so that no write of an earlier holder succeeds afterwards.
func claim(ctx context.Context, r *record.Record[poolOrders], fence int64) error {
	if r.Loaded() && r.Value().Fence == fence {
		return nil
	}
	if err := r.Load(ctx); err != nil {
		return err
	}
	if r.Value().Fence > fence {
		return errLostPiece
	}
	next := r.Value().clone()
	next.Fence = fence
	return r.Swap(ctx, next)
}
