package control

import (
	"context"
	"time"

	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// Leases reports which shards of control work this host holds the lease of. Its
// method does not block.
type Leases interface {
	// Held returns the fencing token of the shard's lease and the deadline by
	// which all work under the lease must have ended. ok is false if this host
	// does not hold the lease.
	Held(shard string) (fence int64, deadline time.Time, ok bool)
}

// Agents queries agents for their state.
type Agents interface {
	// Describe returns the state of the endpoint whose agent listens at address.
	Describe(ctx context.Context, endpoint, address string) (*wire.AgentState, error)
}

// PoolShard returns the name of the shard that orders and returns the endpoints of
// a pool.
func PoolShard(pool string) string { return "pool/" + pool }

// RoleShard returns the name of the shard that controls the engines of a pool in
// one failure domain.
func RoleShard(domain, pool string) string { return "role/" + domain + "/" + pool }
