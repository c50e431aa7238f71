package audit_test

import (
	"github.com/acacialink/acacialink/internal/audit"
	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/standin/engine"
	"github.com/acacialink/acacialink/internal/standin/hostlist"
	"github.com/acacialink/acacialink/internal/standin/service"
)

// badRecords lists modifications of a valid record that each violate one
// guarantee.
var badRecords = []struct {
	name      string
	guarantee audit.Guarantee
	corrupt   func(*audit.Record)
}{
	{"overlapping orders", audit.ConflictingOrders, func(r *audit.Record) { r.Engines[0].Orders[1].Overlaps = true }},
	{"two issuers at an engine", audit.ConflictingOrders, func(r *audit.Record) { r.Engines[0].Orders[1].Fence = 3 }},
	{"interrupted during a role change", audit.PlannedChanges, func(r *audit.Record) { r.Requests[0].Complete = false }},
	{"may-have-run during a role change", audit.PlannedChanges, func(r *audit.Record) {
		r.Requests[0].Status = 502
		r.Requests[0].Verdict = "may-have-run"
	}},
	{"stale order at an engine", audit.StaleOrders, func(r *audit.Record) { r.Engines[0].Orders[1].HighestFence = 9 }},
	{"stale order at the provider", audit.StaleOrders, func(r *audit.Record) { r.Provider.Orders[1].HighestFence = 9 }},
	{"no key", audit.Keys, func(r *audit.Record) { r.Requests[0].Key = "" }},
	{"revoked key", audit.Keys, func(r *audit.Record) { r.Requests[1].Sent = atSecond(55.1) }},
	{"key in a header", audit.Keys, func(r *audit.Record) {
		r.Services[0].Calls[0].Header = map[string][]string{"X-Old": {"Bearer secret-a"}}
	}},
	{"key in a query", audit.Keys, func(r *audit.Record) { r.Services[0].Calls[0].Path = "/pay?key=secret-b" }},
	{"key at an engine", audit.Keys, func(r *audit.Record) {
		r.Engines[0].Generations[0].Header["X-Request-Id"] = []string{"secret-a"}
	}},
	{"two issuers at the provider", audit.ProviderOrders, func(r *audit.Record) { r.Provider.Orders[1].Fence = 3 }},
	{"rejected stale order at the provider", audit.ProviderOrders, func(r *audit.Record) {
		r.Provider.Orders[1].HighestFence = 9
		r.Provider.Orders[1].Result = "fenced"
	}},
	{"different usage counts", audit.UsageReports, func(r *audit.Record) { r.Usage[1].Body = []byte("2") }},
	{"two reporters", audit.UsageReports, func(r *audit.Record) { r.Usage[1].Fence = 3 }},
	{"stale reporter", audit.UsageReports, func(r *audit.Record) { r.Usage[1].Fence = 2 }},
	{"above the burst", audit.Rates, func(r *audit.Record) { r.Engines[0].Generations[0].PromptTokens = 250 }},
	{"above the rate", audit.Rates, func(r *audit.Record) {
		for _, id := range []string{"x", "y"} {
			r.Requests = append(r.Requests, audit.Request{ID: id, Key: "a"})
			g := r.Engines[0].Generations[0]
			g.ID = id
			r.Engines[0].Generations = append(r.Engines[0].Generations, g)
		}
	}},
	{"lost token", audit.Responses, func(r *audit.Record) {
		r.Requests[0].Text = engine.TextOf(r.Requests[0].Seed, 4)
	}},
	{"response to another prompt", audit.Responses, func(r *audit.Record) {
		otherPrompt := engine.Seed("m", "", "other")
		r.Engines[0].Generations[0].Prompt = otherPrompt
		r.Requests[0].Text = engine.TextOf(otherPrompt, 5)
	}},
	{"response to another request", audit.Responses, func(r *audit.Record) { r.Requests[1].ResponseRequestID = "p2" }},
	{"call executed", audit.NotRun, func(r *audit.Record) {
		r.Services[0].Calls = append(r.Services[0].Calls, service.Call{RequestID: "n1", Run: 2, At: atSecond(5)})
	}},
	{"generation executed", audit.NotRun, func(r *audit.Record) {
		r.Engines[0].Generations = append(r.Engines[0].Generations, engine.GenerationRecord{ID: "n1", Started: true})
	}},
	{"same request twice", audit.AtMostOnce, func(r *audit.Record) {
		r.Services[0].Calls[0].IdempotencyKey = ""
		r.Services[0].Calls = append(r.Services[0].Calls, r.Services[0].Calls[0])
	}},
	{"same key twice, at two services", audit.AtMostOnce, func(r *audit.Record) {
		repeated := r.Requests[1]
		repeated.ID = "p2"
		r.Requests = append(r.Requests, repeated)
		call := r.Services[0].Calls[0]
		call.RequestID = "p2"
		r.Services = append(r.Services, service.Record{Name: "s2", Calls: []service.Call{call}})
	}},
	{"work while leaving", audit.LeavingEndpoints, func(r *audit.Record) { r.Services[0].Calls[0].At = atSecond(5.1) }},
	{"work after removal", audit.LeavingEndpoints, func(r *audit.Record) {
		removal := hostlist.Change{At: atSecond(1), Host: backing.Host{Name: "m1"}, Removed: true}
		r.Hosts = append(r.Hosts, removal)
		r.Engines[0].Generations[0].Start = atSecond(7)
	}},
	{"no response during a shutdown", audit.GracefulShutdowns, func(r *audit.Record) { r.Requests[1].Status = 0 }},
	{"revision decreased", audit.Configuration, func(r *audit.Record) {
		r.RevisionObservations = append(r.RevisionObservations, audit.RevisionObservation{Process: "e1", At: atSecond(15), Revision: 1})
	}},
	{"late", audit.Configuration, func(r *audit.Record) {
		r.RevisionObservations = append(r.RevisionObservations, audit.RevisionObservation{Process: "e2", At: atSecond(13.1), Revision: 1})
	}},
}
