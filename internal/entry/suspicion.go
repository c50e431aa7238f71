package entry

import (
	"net/http"
	"time"

	"github.com/acacialink/acacialink/internal/endpoint"
	"github.com/acacialink/acacialink/internal/rpc/wire"
	"github.com/acacialink/acacialink/internal/verdict"
)

const (
	// codeSegmentHeld is the code of a request that is held back for a part of its
	// prompt.
	codeSegmentHeld = "segment_held"
	// maxEnded is the number of engines that may end while they begin to answer one
	// request.
	maxEnded = 2
)

// checkPrompt returns an error if the generation is held back for a part of its prompt.
// It lets one pass that was chosen to try a part again.
func (g *generation) checkPrompt() error {
	if g.tries {
		return nil
	}
	now, ledger := time.Now(), g.server.opts.Suspects
	g.hashPrompt()
	v, held := ledger.Check(now, g.model, g.prefixHashes, false)
	if !held {
		return nil
	}
	if g.server.opts.Leads() {
		if _, held := ledger.Check(now, g.model, g.prefixHashes, true); !held {
			g.tries = true
			return nil
		}
	}
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, codeSegmentHeld, "a part of the prompt is suspected to crash engines").After(max(time.Second, v.Until().Sub(now)))
}

// recordFailure records that an agent ended an attempt, and whether its engine ended under
// it. begun is when the answer began; zero if it had not.
func (g *generation) recordFailure(name string, failed *wire.Failed, begun time.Time) {
	if failed.EngineEndedMs == 0 {
		return
	}
	now, ledger := time.Now(), g.server.opts.Suspects
	engine := endpoint.Key{ID: name, StartedAtMS: failed.EngineEndedMs}
	g.hashPrompt()
	ledger.Lost(now, engine, g.model, g.prefixHashes, begun)
	ledger.Crashed(now, engine)
	g.ended++
	if !ledger.Known(g.model, g.prefixHashes) || g.ended >= maxEnded {
		g.mayBeDeadly = true
		ledger.RetryWithheld()
	}
}

// recordAnswered records that an engine began the answer at the given time and did not
// end.
func (g *generation) recordAnswered(name string, begun time.Time) {
	if !begun.IsZero() {
		g.hashPrompt()
		g.server.opts.Suspects.Answered(time.Now(), endpoint.Key{ID: name}, g.model, g.prefixHashes, begun)
	}
}
