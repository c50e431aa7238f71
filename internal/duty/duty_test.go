package duty

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

func no() bool { return false }

var quiet = slog.New(slog.DiscardHandler)

// reports is a platform that takes usage reports.
type reports struct {
	taken map[int64]Counts
	calls int
	err   error
}

func (r *reports) Report(_ context.Context, _ string, _, window int64, counts Counts) error {
	r.calls++
	if r.err != nil {
		return r.err
	}
	if old, ok := r.taken[window]; ok && len(old.max(counts)) != len(old) {
		return errors.New("two reports of one window differ")
	}
	r.taken[window] = counts
	return nil
}

// held is a lease that tests give and take.
type held struct {
	fence int64
	ok    bool
}

func (h *held) Held(string) (int64, time.Time, bool) {
	return h.fence, time.Now().Add(time.Second), h.ok
}

// engines takes stage orders. Each engine reports the state that is set for its
// ID, and else that it decodes and has accepted nothing.
type engines struct {
	reports map[string]EngineReport
	orders  []StageOrder
	err     error
}

func (e *engines) Report(_ context.Context, engine *endpoint.Endpoint) (EngineReport, error) {
	if r, ok := e.reports[engine.ID]; ok {
		return r, nil
	}
	return EngineReport{Stage: endpoint.StageDecode}, nil
}

func (e *engines) Stage(_ context.Context, _ string, _ int64, o StageOrder) error {
	e.orders = append(e.orders, o)
	return e.err
}

type steady struct{}

func (steady) Now() lease.Instant { return lease.Instant{Monotonic: time.Now()} }

func engineAt(id, domain string, stage endpoint.Stage) *endpoint.Endpoint {
	return &endpoint.Endpoint{ID: id, Address: id, Service: "llm", Domain: domain, Slots: 1, Stage: stage}
}

// holderOf is a holder of duties over one service with two decoding engines.
func holderOf(l *held, e *engines, r *reports, store backing.Store) *Holder {
	c := catalog.NewHolder(steady{}, time.Minute)
	c.Offer(1, catalog.New(1, catalog.Limits{}, nil, []*catalog.Service{{Name: "llm", Engine: &catalog.Engine{StageSwitch: 3 * time.Second}}}, nil, nil))
	set := endpoint.NewSet(time.Second)
	set.Replace(time.Now(), 0, []*endpoint.Endpoint{engineAt("x", "a", endpoint.StageDecode), engineAt("y", "a", endpoint.StageDecode)})
	return NewHolder(Options{
		Host: "a", Incarnation: "a-1", Leases: l, Clock: steady{}, Quiet: 3 * time.Second, Settle: 2 * time.Second,
		Counter: NewCounter(window, time.Now), Store: store, Reporter: r, Engines: e, Catalog: c, Endpoints: set,
		Balance: DefaultBalance(), Switching: func(*endpoint.Endpoint, time.Duration) {}, Idle: func([]*endpoint.Endpoint) bool { return false }, Log: quiet,
	})
}
