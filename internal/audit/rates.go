package audit

import (
	"slices"
	"time"
)

// tokenCharge is the usage of one request that is charged to its workspace.
type tokenCharge struct {
	// at is when the first generation of the request started.
	at time.Time
	// tokens is the number of prompt and output tokens.
	tokens int64
}

// checkRates replays the generations of each workspace through a token bucket
// and finds those above the rate and burst. A request that was resumed at
// another engine is charged once.
func checkRates(rep *report, r *Record, b Bounds) {
	charges := chargesByWorkspace(r)
	for _, w := range r.Workspaces {
		workspaceCharges := charges[w.Name]
		slices.SortFunc(workspaceCharges, func(x, y tokenCharge) int { return x.at.Compare(y.at) })
		limit := float64(w.BurstTokens) + float64(w.RateTokens)*b.RateSlack.Seconds()
		level := 0.0
		var last time.Time
		for _, charge := range workspaceCharges {
			rep.countExamined()
			level = max(0, level-float64(w.RateTokens)*charge.at.Sub(last).Seconds()) + float64(charge.tokens)
			last = charge.at
			if level > limit {
				rep.addFinding("workspace %s was %.0f tokens above its rate and burst at %s", w.Name, level-limit, charge.at.Format(time.RFC3339Nano))
			}
		}
	}
}

func chargesByWorkspace(r *Record) map[string][]tokenCharge {
	workspaces := workspaceByRequest(r)
	byRequest := make(map[string]tokenCharge)
	for _, e := range r.Engines {
		for _, g := range e.Generations {
			if g.Refused != "" || !g.Started {
				continue
			}
			charge, known := byRequest[g.ID]
			if !known || g.Start.Before(charge.at) {
				charge.at = g.Start
			}
			charge.tokens = max(charge.tokens, int64(g.PromptTokens+g.OutputTokens))
			byRequest[g.ID] = charge
		}
	}
	charges := make(map[string][]tokenCharge)
	for id, charge := range byRequest {
		charges[workspaces[id]] = append(charges[workspaces[id]], charge)
	}
	return charges
}

func workspaceByRequest(r *Record) map[string]string {
	byKey := make(map[string]string, len(r.Keys))
	for _, k := range r.Keys {
		byKey[k.Name] = k.Workspace
	}
	workspaces := make(map[string]string, len(r.Requests))
	for _, req := range r.Requests {
		workspaces[req.ID] = byKey[req.Key]
	}
	return workspaces
}
