package audit_test

import (
	"testing"
	"time"

	"github.com/acacialink/acacialink/internal/audit"
	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/standin/engine"
	"github.com/acacialink/acacialink/internal/standin/hostlist"
	"github.com/acacialink/acacialink/internal/standin/provider"
	"github.com/acacialink/acacialink/internal/standin/service"
	"github.com/acacialink/acacialink/internal/standin/usagesink"
	"github.com/matryer/is"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func atSecond(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// validRecord returns a record in which every guarantee is examined and holds.
func validRecord() *audit.Record {
	seed := engine.Seed("m", "", "prompt")
	r := &audit.Record{
		Keys: []audit.Key{
			{Name: "a", Secret: "secret-a", Workspace: "wa"},
			{Name: "b", Secret: "secret-b", Workspace: "wb", RevokedAt: atSecond(50)},
		},
		Workspaces:       []audit.Workspace{{Name: "wa", RateTokens: 10, BurstTokens: 200}},
		AtMostOnceRoutes: []string{"/pay"},
		Changes:          []audit.ConfigChange{{Revision: 2, AcceptedAt: atSecond(10)}},
		RevisionObservations: []audit.RevisionObservation{
			{Process: "e1", At: atSecond(11), Revision: 1},
			{Process: "e1", At: atSecond(14), Revision: 2},
		},
		PlannedChanges: []audit.PlannedChange{{Window: audit.Window{Start: atSecond(0), End: atSecond(60)}, Target: "e1", Shutdown: true}},
	}
	r.Requests = []audit.Request{
		{
			ID: "g1", Key: "a", Generation: true, Entry: "e1", Seed: seed, Status: 200, Complete: true,
			Sent: atSecond(1), Done: atSecond(2), Text: engine.TextOf(seed, 5),
		},
		{
			ID: "p1", Key: "b", Entry: "e1", Path: "/pay", IdempotencyKey: "k", BodyHash: 7, Sent: atSecond(3), Done: atSecond(4),
			Status: 200, Complete: true, ResponseRequestID: "p1", ResponseBodyHash: 7,
		},
		{ID: "n1", Key: "a", Entry: "e1", Sent: atSecond(5), Done: atSecond(6), Status: 503, Verdict: "not-run", Complete: true},
	}
	r.Engines = []engine.Record{{
		Name: "m1",
		Generations: []engine.GenerationRecord{{
			ID: "g1", Prompt: seed, Start: atSecond(1), End: atSecond(2), Started: true, Outcome: "length",
			PromptTokens: 100, OutputTokens: 5, Header: map[string][]string{"X-Request-Id": {"g1"}},
		}},
		Orders: []engine.OrderRecord{
			engineOrder("o1", 3, "e1", atSecond(1), 0), engineOrder("o2", 4, "e2", atSecond(20), 3),
		},
	}}
	r.Services = []service.Record{{Name: "s1", Calls: []service.Call{{
		At: atSecond(3.5), RequestID: "p1", IdempotencyKey: "k", Path: "/pay", Run: 1, BodyHash: 7,
	}}}}
	r.Provider = provider.Record{Orders: []provider.Order{providerOrder(3, "e1", 3), providerOrder(4, "e2", 4)}}
	r.Usage = []usagesink.Report{usageReport("1", 3, "e1"), usageReport("1", 4, "e2")}
	r.Hosts = []hostlist.Change{{
		At: atSecond(0), Host: backing.Host{Name: "s1", State: backing.HostLeaving},
	}}
	return r
}

func engineOrder(id string, fence int64, issuer string, from time.Time, highest int64) engine.OrderRecord {
	return engine.OrderRecord{
		Order: backing.Order{ID: id, Fence: fence, Issuer: issuer},
		Start: from, End: from.Add(time.Second), Result: "done", HighestFence: highest,
	}
}

func providerOrder(fence int64, issuer string, highest int64) provider.Order {
	return provider.Order{
		EndpointOrder: backing.EndpointOrder{Fence: fence, Issuer: issuer},
		Result:        "done", HighestFence: highest,
	}
}

func usageReport(body string, fence int64, issuer string) usagesink.Report {
	return usagesink.Report{UsageReport: backing.UsageReport{
		Window: "w", Fence: fence, Issuer: issuer, Body: []byte(body),
	}}
}

func TestCheckPassesValidRecord(t *testing.T) {
	is := is.New(t)
	for _, result := range audit.Check(validRecord(), audit.DefaultBounds()) {
		is.Equal(result.Findings, nil)
		is.True(result.Examined > 0)
	}
}

// TestCheckReportsBadRecords introduces one violation into a valid record and
// checks that it is reported for the expected guarantee.
func TestCheckReportsBadRecords(t *testing.T) {
	for _, c := range badRecords {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := validRecord()
			c.corrupt(r)
			found := false
			for _, result := range audit.Violated(audit.Check(r, audit.DefaultBounds())) {
				found = found || result.Guarantee == c.guarantee
			}
			is.True(found)
		})
	}
}

func TestCheckAcceptsReplayedPaymentAnswer(t *testing.T) {
	is := is.New(t)
	r := validRecord()
	repeated := r.Requests[1]
	repeated.ID = "p2"
	r.Requests = append(r.Requests, repeated)
	is.Equal(audit.Violated(audit.Check(r, audit.DefaultBounds())), nil)
	r.Services[0].Calls[0].IdempotencyKey = "other"
	is.Equal(len(audit.Violated(audit.Check(r, audit.DefaultBounds()))), 1)
}

func TestBadRecordsCoverAllGuarantees(t *testing.T) {
	is := is.New(t)
	covered := make(map[audit.Guarantee]bool)
	for _, c := range badRecords {
		covered[c.guarantee] = true
	}
	is.Equal(len(covered), len(audit.Check(validRecord(), audit.DefaultBounds())))
	is.Equal(len(covered), 13)
}
