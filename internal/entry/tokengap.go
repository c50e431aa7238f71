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
func (s *tokenGapSampler) add(tokens int) {
	if s.windowStart.IsZero() {
		s.windowStart = time.Now()
		return
	}
	s.tokens += tokens
	if s.tokens < tokensPerGapSample {
		return
	}
	now := time.Now()
	s.flight.ObserveTokenGap(now, now.Sub(s.windowStart)/time.Duration(s.tokens))
	s.windowStart, s.tokens = now, 0
}
