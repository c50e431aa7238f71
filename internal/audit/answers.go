package audit

import "github.com/acacialink/acacialink/internal/standin/engine"

// checkAnswers compares each whole answer with the one that the endpoint gave
// to the request of that id.
func checkAnswers(rep *report, r *Record, _ Bounds) {
	finished := finishedGenerations(r)
	payments := paymentsByRequest(r)
	for _, q := range r.Requests {
		if !q.answered() {
			continue
		}
		rep.saw()
		if q.Generation {
			checkCompletion(rep, q, finished[q.ID])
			continue
		}
		// A payment sent again gets the answer of the run that it repeats.
		repeats := q.IdempotencyKey != "" && payments[q.AnswerID] == q.IdempotencyKey
		if (q.AnswerID != q.ID && !repeats) || q.AnswerBodyHash != q.BodyHash {
			rep.add("request %s got the answer to request %s", q.ID, q.AnswerID)
		}
	}
}

func checkCompletion(rep *report, q Request, generations []engine.GenerationRecord) {
	for _, g := range generations {
		if q.Seed != 0 && g.Prompt != q.Seed {
			continue
		}
		if q.Text == engine.TextOf(g.Prompt, g.OutputTokens) {
			return
		}
	}
	rep.add("request %s got an answer of %d bytes that no engine gave", q.ID, len(q.Text))
}

// paymentsByRequest are the idempotency keys of service calls, by request.
func paymentsByRequest(r *Record) map[string]string {
	keys := make(map[string]string)
	for _, s := range r.Services {
		for _, c := range s.Calls {
			keys[c.RequestID] = c.IdempotencyKey
		}
	}
	return keys
}

// finishedGenerations are the generations that ran to their end, by request.
func finishedGenerations(r *Record) map[string][]engine.GenerationRecord {
	finished := make(map[string][]engine.GenerationRecord)
	for _, e := range r.Engines {
		for _, g := range e.Generations {
			if ended(g) {
				finished[g.ID] = append(finished[g.ID], g)
			}
		}
	}
	return finished
}

func ended(g engine.GenerationRecord) bool { return g.Outcome == "stop" || g.Outcome == "length" }
