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

// PeerCaller exchanges messages with other entry hosts.
type PeerCaller interface {
	// Exchange sends a message to the entry host at the address and returns
	// its answer.
	Exchange(ctx context.Context, peer string, m *wire.PeerMessage) (*wire.PeerMessage, error)
}

// Limits of an exchanger.
const (
	// maxCalls limits concurrent calls, including reads of the host list.
	maxCalls = 8
	// maxRepairs limits the follow-up messages of one call.
	maxRepairs = 2
)

// Exchanger drives a Table: it calls Tick once per period, exchanges messages
// with peers and reads the platform's host list.
type Exchanger struct {
	table   *Table
	cfg     Config
	peers   PeerCaller
	hosts   backing.HostList
	timeout time.Duration
	log     *slog.Logger

	calls        *semaphore.Weighted
	readingHosts atomic.Bool
}

// NewExchanger returns an exchanger for the table. timeout limits each call and
// each read of the host list.
func NewExchanger(table *Table, cfg Config, peers PeerCaller, hosts backing.HostList, timeout time.Duration, log *slog.Logger) *Exchanger {
	return &Exchanger{
		table: table, cfg: cfg, peers: peers, hosts: hosts, timeout: timeout, log: log,
		calls: semaphore.NewWeighted(maxCalls),
	}
}

// Run drives the table until ctx is done. It returns once no call is in flight.
func (e *Exchanger) Run(ctx context.Context) {
	ticker := time.NewTicker(e.cfg.Period)
	defer ticker.Stop()
	defer e.waitForCalls()
	for {
		e.tick(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// waitForCalls blocks until all calls have returned. Their contexts must be
// done.
func (e *Exchanger) waitForCalls() {
	_ = e.calls.Acquire(context.Background(), maxCalls) // Cannot fail: the context is never done.
	e.calls.Release(maxCalls)
}

// tick starts the calls of one period. A call beyond maxCalls is skipped and
// counts neither as answered nor as failed.
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
	if e.table.HostListDue(now) && e.readingHosts.CompareAndSwap(false, true) {
		if !e.calls.TryAcquire(1) {
			e.readingHosts.Store(false)
			return
		}
		go func() {
			defer e.calls.Release(1)
			defer e.readingHosts.Store(false)
			e.readHosts(ctx)
		}()
	}
}

// call makes one exchange and its follow-up repairs.
func (e *Exchanger) call(ctx context.Context, call Call) {
	part := call.Message
	for range 1 + maxRepairs {
		answer, err := e.exchange(ctx, call.Address, part)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			e.table.HandleFailure(call.Address, time.Now())
			e.log.Debug("membership exchange failed", "peer", call.Address, "error", err)
			return
		}
		part = e.table.HandleAnswer(answer.GetFrom(), answer.GetMember(), time.Now())
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
	e.table.HandleHostList(list, time.Now())
}
