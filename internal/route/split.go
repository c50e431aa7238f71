package route

import "time"

// Split is a generation with split prefill: the prompt is prefilled at one
// endpoint and decoded at another, with a KV cache transfer in between.
type Split struct {
	Prefill Decision
	Decode  Decision
}

// minSplitTokens is the minimum uncached prompt length for split prefill, in
// tokens.
const minSplitTokens = 2000

// SplitPrefill reports whether to use split prefill for the request, and at which
// endpoints. It does so if the predicted cost of both phases and of the KV cache
// transfer is below that of the best single endpoint. It has no error result: a
// request that is not split can still be routed with Pick.
func (p *CostPolicy) SplitPrefill(now time.Time, r *Request, s *Set) (Split, bool) {
	if r.PromptTokens < minSplitTokens || r.Phase != PhaseWhole {
		return Split{}, false
	}
	single := p.best(now, r, s)
	if single.candidate == nil || r.PromptTokens-single.prefix < minSplitTokens {
		return Split{}, false
	}
	prefillReq, decodeReq := *r, *r
	prefillReq.Phase, decodeReq.Phase = PhasePrefill, PhaseDecode
	prefill := p.best(now, &prefillReq, s)
	decode := p.best(now, &decodeReq, s)
	if prefill.candidate == nil || decode.candidate == nil {
		return Split{}, false
	}
	if prefill.candidate == decode.candidate {
		return Split{}, false
	}
	transfer := p.CostModel.TransferOverhead + time.Duration(r.PromptTokens)*p.CostModel.TransferPerToken
	if prefill.estimate.score+transfer+decode.estimate.score >= single.estimate.score {
		return Split{}, false
	}
	return Split{Prefill: prefill.decision(), Decode: decode.decision()}, true
}
