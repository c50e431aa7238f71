package member

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// PeerCaller exchanges messages with another entry host.
type PeerCaller interface {
	// Exchange sends a message to the entry host at the address and returns
	// its answer.
	Exchange(ctx context.Context, peer string, m *wire.PeerMessage) (*wire.PeerMessage, error)
}

// Bounds of an exchanger.
const (
	// maxCalls bounds calls under way.
	maxCalls = 8
	// maxRepairs bounds the messages that follow one call.
	maxRepairs = 2
)

// Exchanger drives a table: it ticks, calls peers and reads the host list.
type Exchanger struct {
	table   *Table
	cfg     Config
	peers   PeerCaller
	hosts   backing.HostList
	timeout time.Duration
	log     *slog.Logger

	calls   *semaphore.Weighted
	reading atomic.Bool
}

// NewExchanger returns an exchanger of the table. Each call and each read of
// the host list takes at most timeout.
func NewExchanger(table *Table, cfg Config, peers PeerCaller, hosts backing.HostList, timeout time.Duration, log *slog.Logger) *Exchanger {
	return &Exchanger{
		table: table, cfg: cfg, peers: peers, hosts: hosts, timeout: timeout, log: log,
		calls: semaphore.NewWeighted(maxCalls),
	}
}

// Run drives the table until ctx ends. It returns once no call is under way.
func (e *Exchanger) Run(ctx context.Context) {
	ticker := time.NewTicker(e.cfg.Period)
	defer ticker.Stop()
	defer e.wait()
	for {
		e.tick(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// wait returns once all calls have ended; they end with their context.
func (e *Exchanger) wait() {
	_ = e.calls.Acquire(context.Background(), maxCalls) // Never fails: the context has no end.
	e.calls.Release(maxCalls)
}

// tick starts the calls of one period. A call that finds no room counts as
// neither answered nor failed.
func (e *Exchanger) tick(ctx context.Context) {
	now := time.Now()
	for _, call := range e.table.Tick(now) {
		if !e.calls.TryAcquire(1) {
			break
		}
		go func() {
			defer e.calls.Release(1)
			e.call(ctx, call)
		}()
	}
	if e.table.HostsDue(now) && e.reading.CompareAndSwap(false, true) {
		if !e.calls.TryAcquire(1) {
			e.reading.Store(false)
			return
		}
		go func() {
			defer e.calls.Release(1)
			defer e.reading.Store(false)
			e.readHosts(ctx)
		}()
	}
}

// call makes one exchange and what follows from it.
func (e *Exchanger) call(ctx context.Context, call Call) {
	part := call.Part
	for range 1 + maxRepairs {
		answer, err := e.exchange(ctx, call.Address, part)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			e.table.Failed(call.Address, time.Now())
			e.log.Debug("membership exchange failed", "peer", call.Address, "error", err)
			return
		}
		part = e.table.Answered(answer.GetFrom(), answer.GetMember(), time.Now())
		if part == nil {
			return
		}
	}
}

func (e *Exchanger) exchange(ctx context.Context, address string, part *wire.MemberPart) (*wire.PeerMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, e.timeout)
	defer cancel()
	return e.peers.Exchange(ctx, address, &wire.PeerMessage{
		From: e.cfg.Name, Incarnation: e.cfg.Incarnation, Member: part,
	})
}

func (e *Exchanger) readHosts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, e.timeout)
	defer cancel()
	list, err := e.hosts.Hosts(ctx)
	if err != nil {
		e.log.Warn("host list could not be read", "error", err)
		return
	}
	e.table.HandleHosts(list, time.Now())
}
