package route

import "time"

// Split is a generation over two endpoints: the prompt on one, the answer on
// another, with the KV cache moved between them.
type Split struct {
	Prefill Decision
	Decode  Decision
}

// minSplitTokens is the shortest uncached prompt for which a split is weighed.
const minSplitTokens = 2000

// SplitPrefill says whether to put the request on two endpoints. It does so
// when the predicted cost of both phases and of moving the KV cache is below
// the cost on the best single endpoint. It never fails: without a split the
// request goes where Pick says.
func (p *Picker) SplitPrefill(now time.Time, r *Request, s *Set) (Split, bool) {
	if r.PromptTokens < minSplitTokens || r.Phase != PhaseWhole {
		return Split{}, false
	}
	whole := p.best(now, r, s)
	if whole.candidate == nil || r.PromptTokens-whole.prefix < minSplitTokens {
		return Split{}, false
	}
	first, second := *r, *r
	first.Phase, second.Phase = PhasePrefill, PhaseDecode
	prefill := p.best(now, &first, s)
	decode := p.best(now, &second, s)
	if prefill.candidate == nil || decode.candidate == nil {
		return Split{}, false
	}
	if prefill.candidate == decode.candidate {
		return Split{}, false
	}
	move := p.Costs.TransferFixed + time.Duration(r.PromptTokens)*p.Costs.TransferPerToken
	if prefill.estimate.score+move+decode.estimate.score >= whole.estimate.score {
		return Split{}, false
	}
	return Split{Prefill: prefill.decision(), Decode: decode.decision()}, true
}
