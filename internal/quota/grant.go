package quota

import (
	"time"

	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// grant is the owner's record of one account of one holder.
type grant struct {
	account uint64
	// granted, spent and returned are totals since the account was opened.
	granted  int64
	spent    int64
	returned int64
	// expires is when the account's outstanding tokens count as spent.
	expires time.Time
}

func (g *grant) outstanding() int64 { return g.granted - g.spent - g.returned }

// report takes the holder's totals and returns the tokens newly given back,
// or false when they cannot be right.
func (g *grant) report(r *wire.QuotaRequest) (returned int64, ok bool) {
	spent := max(g.spent, r.GetSpentTokens())
	back := max(g.returned, r.GetReturnedTokens())
	if spent+back > g.granted {
		return 0, false
	}
	returned = back - g.returned
	g.spent, g.returned = spent, back
	return returned, true
}
