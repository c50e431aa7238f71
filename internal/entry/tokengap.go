package entry

import (
	"time"

	"github.com/acacialink/acacialink/internal/route"
)

// tokensPerGapSample is the number of tokens over which a token gap is averaged.
const tokensPerGapSample = 8

// tokenGapSampler measures the mean time between the tokens of a stream and reports
// it to the router.
type tokenGapSampler struct {
	flight      *route.Flight
	windowStart time.Time
	tokens      int
}

// add counts tokens that arrived now. The first call only starts the window.
func (p *tokenGapSampler) add(tokens int) {
	if p.windowStart.IsZero() {
		p.windowStart = time.Now()
		return
	}
	p.tokens += tokens
	if p.tokens < tokensPerGapSample {
		return
	}
	now := time.Now()
	p.flight.ObserveTokenGap(now, now.Sub(p.windowStart)/time.Duration(p.tokens))
	p.windowStart, p.tokens = now, 0
}
