package audit

import "github.com/acacialink/acacialink/internal/standin/engine"

// checkResponses checks that each complete response matches the one that an
// endpoint produced for the request with that ID.
func checkResponses(rep *report, r *Record, _ Bounds) {
	finished := completedGenerations(r)
	payments := idempotencyKeysByRequest(r)
	for _, req := range r.Requests {
		if !req.answered() {
			continue
		}
		rep.countExamined()
		if req.Generation {
			checkCompletion(rep, req, finished[req.ID])
			continue
		}
		// A request that repeats an idempotency key receives the response of the
		// original execution.
		repeats := req.IdempotencyKey != "" && payments[req.ResponseRequestID] == req.IdempotencyKey
		if (req.ResponseRequestID != req.ID && !repeats) || req.ResponseBodyHash != req.BodyHash {
			rep.addFinding("request %s got the answer to request %s", req.ID, req.ResponseRequestID)
		}
	}
}

// checkCompletion checks that the text of a completion matches one of the
// generations that engines completed for the request.
func checkCompletion(rep *report, req Request, generations []engine.GenerationRecord) {
	for _, g := range generations {
		if req.Seed != 0 && g.Prompt != req.Seed {
			continue
		}
		if req.Text == engine.TextOf(g.Prompt, g.OutputTokens) {
			return
		}
	}
	rep.addFinding("request %s got an answer of %d bytes that no engine gave", req.ID, len(req.Text))
}

// idempotencyKeysByRequest maps the request ID of each service call to its
// idempotency key.
func idempotencyKeysByRequest(r *Record) map[string]string {
	keys := make(map[string]string)
	for _, s := range r.Services {
		for _, c := range s.Calls {
			keys[c.RequestID] = c.IdempotencyKey
		}
	}
	return keys
}

// completedGenerations returns the generations that ran to completion, by
// request ID.
func completedGenerations(r *Record) map[string][]engine.GenerationRecord {
	finished := make(map[string][]engine.GenerationRecord)
	for _, e := range r.Engines {
		for _, g := range e.Generations {
			if completed(g) {
				finished[g.ID] = append(finished[g.ID], g)
			}
		}
	}
	return finished
}

func completed(g engine.GenerationRecord) bool { return g.Outcome == "stop" || g.Outcome == "length" }
