package usage

import (
	"context"
	"time"

	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// Ownership reports which host owns each shard. Its methods do not block.
type Ownership interface {
	// Owner returns the host that owns the shard according to this host's cached
	// state. ok is false if no owner is known.
	Owner(shard int) (host string, ok bool)
	// Held returns the fencing token of this host's ownership of the shard, and
	// the time by which all operations under it must have completed. ok is false
	// if this host does not own the shard.
	Held(shard int) (fence int64, deadline time.Time, ok bool)
}

// Peers sends messages to other hosts.
type Peers interface {
	// ExchangeUsage sends part to the host and returns its response.
	ExchangeUsage(ctx context.Context, host string, part *wire.UsagePart) (*wire.UsagePart, error)
}
