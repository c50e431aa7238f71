package leader

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/catalog"
	"github.com/acacialink/acacialink/internal/endpoint"
	"github.com/acacialink/acacialink/internal/lease"
)

const window = 5 * time.Second

func falseFunc() bool { return false }

var discardLog = slog.New(slog.DiscardHandler)

// fakeReporter records usage reports and rejects conflicting ones.
type fakeReporter struct {
	accepted map[int64]Counts
	calls    int
	err      error
}

func (r *fakeReporter) Report(_ context.Context, _ string, _, window int64, counts Counts) error {
	r.calls++
	if r.err != nil {
		return r.err
	}
	if old, ok := r.accepted[window]; ok && len(old.max(counts)) != len(old) {
		return errors.New("conflicting reports for one window")
	}
	r.accepted[window] = counts
	return nil
}

// fakeLease is a lease that a test grants and revokes.
type fakeLease struct {
	fence int64
	ok    bool
}

func (l *fakeLease) Held(string) (int64, time.Time, bool) {
	return l.fence, time.Now().Add(time.Second), l.ok
}

// fakeEngines records stage orders. An engine reports the state set for its ID,
// by default the decode stage with no orders accepted.
type fakeEngines struct {
	reports map[string]EngineReport
	orders  []StageOrder
	err     error
}

func (e *fakeEngines) EngineState(_ context.Context, engine *endpoint.Endpoint) (EngineReport, error) {
	if r, ok := e.reports[engine.ID]; ok {
		return r, nil
	}
	return EngineReport{Stage: endpoint.StageDecode}, nil
}

func (e *fakeEngines) OrderStage(_ context.Context, _ string, _ int64, order StageOrder) error {
	e.orders = append(e.orders, order)
	return e.err
}

type testClock struct{}

func (testClock) Now() lease.Instant { return lease.Instant{Monotonic: time.Now()} }

func engineAt(id, domain string, stage endpoint.Stage) *endpoint.Endpoint {
	return &endpoint.Endpoint{ID: id, Address: id, Service: "llm", Domain: domain, Slots: 1, Stage: stage}
}

// newTestRunner returns a Runner for one service with two decode engines.
func newTestRunner(leases *fakeLease, engines *fakeEngines, reporter *fakeReporter, store backing.Store) *Runner {
	c := catalog.NewCache(testClock{}, time.Minute)
	c.Update(1, catalog.New(1, catalog.Limits{}, nil, []*catalog.Service{{Name: "llm", Engine: &catalog.Engine{StageSwitch: 3 * time.Second}}}, nil, nil))
	set := endpoint.NewSet(time.Second)
	set.Replace(time.Now(), 0, []*endpoint.Endpoint{engineAt("x", "a", endpoint.StageDecode), engineAt("y", "a", endpoint.StageDecode)})
	return NewRunner(Options{
		Host: "a", Incarnation: "a-1", Leases: leases, Clock: testClock{}, ReturnDelay: 3 * time.Second, SettlingDelay: 2 * time.Second,
		Counter: NewCounter(window, time.Now), Store: store, EraNoticed: func() EraNotice { return EraNotice{} }, Reporter: reporter, Engines: engines, Catalog: c, Endpoints: set,
		Balance: DefaultBalance(), OnStageChange: func(*endpoint.Endpoint, time.Duration) {}, EnginesIdle: func([]*endpoint.Endpoint) bool { return false }, Log: discardLog,
	})
}
