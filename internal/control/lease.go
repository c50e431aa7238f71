package control

import (
	"context"
	"time"

	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// Leases says which pieces of control work this host holds. It does not block.
type Leases interface {
	// Held returns the fencing number of the piece, and the time by which
	// everything done under it must have ended.
	Held(piece string) (fence int64, deadline time.Time, ok bool)
}

// Agents asks agents for their state.
type Agents interface {
	// Describe returns the state of the endpoint whose agent has the address.
	Describe(ctx context.Context, endpoint, address string) (*wire.AgentState, error)
}

// PoolPiece names the control work of ordering endpoints of a pool.
func PoolPiece(pool string) string { return "pool/" + pool }

// RolePiece names the control work on the engines of a pool in one domain.
func RolePiece(domain, pool string) string { return "role/" + domain + "/" + pool }
