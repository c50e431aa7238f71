package usage

import (
	"context"
	"time"

	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// Ownership says which host keeps a shard. Its methods do not block.
type Ownership interface {
	// Owner returns the host that keeps the shard, as far as this host knows.
	Owner(shard int) (host string, ok bool)
	// Held returns this host's right to keep the shard: the fencing number,
	// and the time by which everything done under it must have ended.
	Held(shard int) (fence int64, deadline time.Time, ok bool)
}

// Peers reaches the other hosts.
type Peers interface {
	// ExchangeUsage sends the part to the host and returns its answer.
	ExchangeUsage(ctx context.Context, host string, part *wire.UsagePart) (*wire.UsagePart, error)
}
