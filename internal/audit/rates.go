package audit

import (
	"slices"
	"time"
)

// spending is what one request cost its workspace.
type spending struct {
	at     time.Time
	tokens int64
}

// checkRates runs each workspace's generations through a token bucket. A
// request that was resumed at another engine is charged once.
func checkRates(rep *report, r *Record, b Bounds) {
	spent := spendingByWorkspace(r)
	for _, w := range r.Workspaces {
		list := spent[w.Name]
		slices.SortFunc(list, func(x, y spending) int { return x.at.Compare(y.at) })
		limit := float64(w.BurstTokens) + float64(w.RateTokens)*b.RateSlack.Seconds()
		level := 0.0
		var last time.Time
		for _, s := range list {
			rep.saw()
			level = max(0, level-float64(w.RateTokens)*s.at.Sub(last).Seconds()) + float64(s.tokens)
			last = s.at
			if level > limit {
				rep.add("workspace %s was %.0f tokens above its rate and burst at %s", w.Name, level-limit, s.at.Format(time.RFC3339Nano))
			}
		}
	}
}

func spendingByWorkspace(r *Record) map[string][]spending {
	workspaces := workspaceByRequest(r)
	byRequest := make(map[string]spending)
	for _, e := range r.Engines {
		for _, g := range e.Generations {
			if g.Refused != "" || !g.Started {
				continue
			}
			s, known := byRequest[g.ID]
			if !known || g.Start.Before(s.at) {
				s.at = g.Start
			}
			s.tokens = max(s.tokens, int64(g.PromptTokens+g.OutputTokens))
			byRequest[g.ID] = s
		}
	}
	spent := make(map[string][]spending)
	for id, s := range byRequest {
		spent[workspaces[id]] = append(spent[workspaces[id]], s)
	}
	return spent
}

func workspaceByRequest(r *Record) map[string]string {
	byKey := make(map[string]string, len(r.Keys))
	for _, k := range r.Keys {
		byKey[k.Name] = k.Workspace
	}
	workspaces := make(map[string]string, len(r.Requests))
	for _, q := range r.Requests {
		workspaces[q.ID] = byKey[q.Key]
	}
	return workspaces
}
