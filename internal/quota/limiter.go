package quota

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// Peers sends messages to the other entry hosts.
type Peers interface {
	// ExchangeQuota sends the part to the host and returns its answer.
	ExchangeQuota(ctx context.Context, host string, part *wire.QuotaPart) (*wire.QuotaPart, error)
}

// Config configures a Limiter.
type Config struct {
	Settings Settings
	// Host is this host's name. Incarnation differs for each start of the
	// process.
	Host        string
	Incarnation string
	// Limits returns the limits in force. Owners enforce them.
	Limits Limits
	// Base and Surplus are the ownership of the two parts of each shard.
	Base    Ownership
	Surplus Ownership
	// Peers may be nil if this host owns all shards.
	Peers Peers
	// Now is the clock; nil means time.Now. It must advance while the machine
	// is suspended.
	Now func() time.Time
}

// Limiter enforces the rates of workspaces. It is safe for concurrent use.
type Limiter struct {
	settings Settings
	host     string
	holderID string
	peers    Peers
	now      func() time.Time

	mu sync.Mutex
	// holder is guarded by mu.
	holder *Holder

	ownerMu sync.Mutex
	// owner is guarded by ownerMu, which is never held together with mu.
	owner *Owner
}

// New returns a limiter. It reports usage and renews accounts only while Run is
// running.
func New(c Config) *Limiter {
	l := &Limiter{settings: c.Settings, host: c.Host, peers: c.Peers, now: c.Now}
	l.holderID = c.Host + "/" + c.Incarnation
	if l.now == nil {
		l.now = time.Now
	}
	l.holder = NewHolder(&l.settings, c.Base, c.Surplus)
	l.owner = NewOwner(&l.settings, c.Limits, c.Base, c.Surplus)
	return l
}

// maxExchanges bounds the exchanges for one reservation.
const maxExchanges = 4

// Reserve reserves tokens (the prompt and the longest possible answer) from the
// workspace's quota of rate tokens per second and burst tokens. Call Start when
// the request is sent and Settle when it is over. A refusal is a *verdict.Error
// with the verdict NotRun: 429 with Retry-After if the workspace is over its
// rate, 413 if the request can never fit the burst. Reserve blocks for at most
// maxExchanges exchanges.
func (l *Limiter) Reserve(ctx context.Context, workspace string, rate, burst, tokens int64) (*Reservation, error) {
	limit := Limit{Rate: rate, Burst: burst}
	if tokens > burst {
		return nil, errOverBurst()
	}
	tokens = max(0, tokens)
	var exchanges [partCount]int
	for range maxExchanges {
		if ctx.Err() != nil {
			break
		}
		r, request := l.reserve(workspace, tokens, limit, &exchanges)
		if r != nil {
			return r, nil
		}
		if request == nil {
			break
		}
		l.exchange(ctx, request.Host, []*OwnerRequest{request})
	}
	// A request that is planned counts as in flight until its answer is applied.
	planNone := [partCount]int{maxExchanges, maxExchanges}
	if r, _ := l.reserve(workspace, tokens, limit, &planNone); r != nil {
		return r, nil
	}
	return nil, errOverRate(limit, tokens)
}

// reserve reserves from the balances, or plans an exchange if they do not
// suffice. Both results are nil if no exchange can help.
func (l *Limiter) reserve(workspace string, tokens int64, limit Limit, exchanges *[partCount]int) (*Reservation, *OwnerRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if r, ok := l.holder.Reserve(now, workspace, tokens); ok {
		r.limiter, r.limit = l, limit
		return r, nil
	}
	tried := [partCount]bool{exchanges[Base] >= maxExchanges/partCount, exchanges[Surplus] >= maxExchanges/partCount}
	request := l.holder.PlanRequest(now, workspace, tokens, limit, tried)
	if request != nil {
		exchanges[request.account.part]++
	}
	return nil, request
}

// HandleQuota answers the requests of another host, up to
// maxRequestsPerExchange.
func (l *Limiter) HandleQuota(part *wire.QuotaPart, from string) *wire.QuotaPart {
	holder := part.GetHolder()
	if holder == "" {
		holder = from
	}
	answer := &wire.QuotaPart{Holder: l.holderID}
	l.ownerMu.Lock()
	defer l.ownerMu.Unlock()
	requests := part.GetRequests()
	for _, r := range requests[:min(len(requests), maxRequestsPerExchange)] {
		answer.Grants = append(answer.Grants, l.owner.Handle(l.now(), holder, r))
	}
	return answer
}

// exchange sends the requests to one host and applies its answers.
func (l *Limiter) exchange(ctx context.Context, host string, requests []*OwnerRequest) {
	part := &wire.QuotaPart{Holder: l.holderID}
	for _, r := range requests {
		part.Requests = append(part.Requests, r.Request)
	}
	answer := l.call(ctx, host, part)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	for i, r := range requests {
		var g *wire.QuotaGrant
		if grants := answer.GetGrants(); i < len(grants) {
			g = grants[i]
		}
		l.holder.ApplyAnswer(now, r, g)
	}
}

// call returns the host's answer, or nil if the exchange failed.
func (l *Limiter) call(ctx context.Context, host string, part *wire.QuotaPart) *wire.QuotaPart {
	if host == l.host {
		return l.HandleQuota(part, l.holderID)
	}
	if l.peers == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, l.settings.ExchangeTimeout)
	defer cancel()
	answer, err := l.peers.ExchangeQuota(ctx, host, part)
	if err != nil {
		return nil
	}
	return answer
}

const (
	// flushInterval is the interval between checks for due reports.
	flushInterval = 250 * time.Millisecond
	// sweepTicks is the number of flush intervals between sweeps of idle
	// buckets.
	sweepTicks = 20
	// maxConcurrentFlushes bounds the concurrent exchanges of Run.
	maxConcurrentFlushes = 16
	// maxRequestsPerExchange bounds the requests of one exchange.
	maxRequestsPerExchange = 256
)

// Run reports spent tokens, returns idle ones and renews accounts until ctx
// ends. It returns the context's error.
func (l *Limiter) Run(ctx context.Context) error {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for tick := 0; ; tick++ {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if tick%sweepTicks == 0 {
			l.sweep()
		}
		l.flush(ctx)
	}
}

func (l *Limiter) sweep() {
	l.ownerMu.Lock()
	defer l.ownerMu.Unlock()
	l.owner.Sweep(l.now())
}

// flush sends the reports that are due, with one exchange at a time per host.
func (l *Limiter) flush(ctx context.Context) {
	l.mu.Lock()
	due := l.holder.DueReports(l.now())
	l.mu.Unlock()
	byHost := make(map[string][]*OwnerRequest)
	for _, r := range due {
		byHost[r.Host] = append(byHost[r.Host], r)
	}
	var group errgroup.Group
	group.SetLimit(maxConcurrentFlushes)
	for host, requests := range byHost {
		group.Go(func() error {
			for len(requests) > 0 {
				n := min(len(requests), maxRequestsPerExchange)
				l.exchange(ctx, host, requests[:n])
				requests = requests[n:]
			}
			return nil
		})
	}
	_ = group.Wait()
}
