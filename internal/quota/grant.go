package quota

import (
	"time"

	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// grant is the owner's record of one holder's account.
type grant struct {
	account uint64
	// granted, spent and returned are totals since the account was opened, in
	// tokens.
	granted  int64
	spent    int64
	returned int64
	// expires is when the account's outstanding tokens count as spent.
	expires time.Time
}

func (g *grant) outstanding() int64 { return g.granted - g.spent - g.returned }

// applyReport records the holder's totals and returns the number of newly
// returned tokens. It returns false if the totals are inconsistent with what
// was granted.
func (g *grant) applyReport(r *wire.QuotaRequest) (returned int64, ok bool) {
	spent := max(g.spent, r.GetSpentTokens())
	totalReturned := max(g.returned, r.GetReturnedTokens())
	if spent+totalReturned > g.granted {
		return 0, false
	}
	returned = totalReturned - g.returned
	g.spent, g.returned = spent, totalReturned
	return returned, true
}
