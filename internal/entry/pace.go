package entry

import (
	"time"

	"github.com/acacialink/acacialink/internal/route"
)

// paceTokens is how many tokens are timed together.
const paceTokens = 8

// pace tells the router how fast an endpoint's tokens come.
type pace struct {
	flight *route.Flight
	begun  time.Time
	tokens int
}

// add counts tokens that arrived now. The first ones begin the time.
func (p *pace) add(tokens int) {
	if p.begun.IsZero() {
		p.begun = time.Now()
		return
	}
	p.tokens += tokens
	if p.tokens < paceTokens {
		return
	}
	now := time.Now()
	p.flight.Observe(now, now.Sub(p.begun)/time.Duration(p.tokens))
	p.begun, p.tokens = now, 0
}
