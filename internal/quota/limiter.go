package quota

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// Peers reaches the other entry hosts.
type Peers interface {
	// ExchangeQuota sends the part to the host and returns its answer.
	ExchangeQuota(ctx context.Context, host string, part *wire.QuotaPart) (*wire.QuotaPart, error)
}

// Config is what a limiter is made of.
type Config struct {
	Settings Settings
	// Host is this host's name, Incarnation differs for each start.
	Host        string
	Incarnation string
	// Limits returns the limits in force; owners go by it.
	Limits Limits
	// Base and Surplus say who owns the two parts of each shard.
	Base    Ownership
	Surplus Ownership
	// Peers may be nil where this host owns everything.
	Peers Peers
	// Now is the clock; nil means time.Now. It must not stand still while
	// the machine is suspended.
	Now func() time.Time
}

// Limiter holds workspaces to their rates. It is safe for concurrent use.
type Limiter struct {
	settings Settings
	host     string
	name     string
	peers    Peers
	now      func() time.Time

	mu sync.Mutex
	// holder is guarded by mu.
	holder *Holder

	ownerMu sync.Mutex
	// owner is guarded by ownerMu, which is never held together with mu.
	owner *Owner
}

// New returns a limiter; Run must be called for it to report and to renew.
func New(c Config) *Limiter {
	l := &Limiter{settings: c.Settings, host: c.Host, peers: c.Peers, now: c.Now}
	l.name = c.Host + "/" + c.Incarnation
	if l.now == nil {
		l.now = time.Now
	}
	l.holder = NewHolder(&l.settings, c.Base, c.Surplus)
	l.owner = NewOwner(&l.settings, c.Limits, c.Base, c.Surplus)
	return l
}

// maxAsks bounds the exchanges for one reservation.
const maxAsks = 4

// Reserve takes tokens (prompt and the longest answer) of the workspace's
// rate; call Start when the request is sent and Settle when it is over. It refuses with a *verdict.Error
// with the verdict NotRun: 429 with Retry-After over the rate, 413 when the
// request can never fit the burst. It blocks for at most maxAsks exchanges.
func (l *Limiter) Reserve(ctx context.Context, workspace string, rate, burst, tokens int64) (*Reservation, error) {
	limit := Limit{Rate: rate, Burst: burst}
	if tokens > burst {
		return nil, errOverBurst()
	}
	tokens = max(0, tokens)
	var asks [partCount]int
	for range maxAsks {
		r, ask := l.reserve(workspace, tokens, limit, &asks)
		if r != nil {
			return r, nil
		}
		if ask == nil || ctx.Err() != nil {
			break
		}
		l.exchange(ctx, ask.Host, []*Ask{ask})
	}
	if r, _ := l.reserve(workspace, tokens, limit, &asks); r != nil {
		return r, nil
	}
	return nil, errOverRate(limit, tokens)
}

// reserve tries the balances and else plans an exchange.
func (l *Limiter) reserve(workspace string, tokens int64, limit Limit, asks *[partCount]int) (*Reservation, *Ask) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if r, ok := l.holder.Reserve(now, workspace, tokens); ok {
		r.limiter, r.limit = l, limit
		return r, nil
	}
	tried := [partCount]bool{asks[Base] >= maxAsks/partCount, asks[Surplus] >= maxAsks/partCount}
	ask := l.holder.Ask(now, workspace, tokens, limit, tried)
	if ask != nil {
		asks[ask.account.part]++
	}
	return nil, ask
}

// HandleQuota answers the requests of another host.
func (l *Limiter) HandleQuota(part *wire.QuotaPart, from string) *wire.QuotaPart {
	holder := part.GetHolder()
	if holder == "" {
		holder = from
	}
	answer := &wire.QuotaPart{Holder: l.name}
	l.ownerMu.Lock()
	defer l.ownerMu.Unlock()
	requests := part.GetRequests()
	for _, r := range requests[:min(len(requests), maxBatch)] {
		answer.Grants = append(answer.Grants, l.owner.Handle(l.now(), holder, r))
	}
	return answer
}

// exchange sends the asks to one host and books its answers.
func (l *Limiter) exchange(ctx context.Context, host string, asks []*Ask) {
	part := &wire.QuotaPart{Holder: l.name}
	for _, a := range asks {
		part.Requests = append(part.Requests, a.Request)
	}
	answer := l.call(ctx, host, part)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	for i, a := range asks {
		var g *wire.QuotaGrant
		if grants := answer.GetGrants(); i < len(grants) {
			g = grants[i]
		}
		l.holder.Answer(now, a, g)
	}
}

// call returns the host's answer, or nil.
func (l *Limiter) call(ctx context.Context, host string, part *wire.QuotaPart) *wire.QuotaPart {
	if host == l.host {
		return l.HandleQuota(part, l.name)
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
	// flushTick is how often due reports are looked for.
	flushTick = 250 * time.Millisecond
	// sweepTicks is the number of flushTicks between sweeps of idle buckets.
	sweepTicks = 20
	// maxFlushes bounds the exchanges under way in Run.
	maxFlushes = 16
	// maxBatch bounds the requests of one exchange.
	maxBatch = 256
)

// Run reports spent tokens, returns idle ones and renews accounts until ctx
// ends. It returns the context's error.
func (l *Limiter) Run(ctx context.Context) error {
	ticker := time.NewTicker(flushTick)
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

// flush sends the reports that are due, one exchange a host at a time.
func (l *Limiter) flush(ctx context.Context) {
	l.mu.Lock()
	due := l.holder.Flush(l.now())
	l.mu.Unlock()
	byHost := make(map[string][]*Ask)
	for _, a := range due {
		byHost[a.Host] = append(byHost[a.Host], a)
	}
	var group errgroup.Group
	group.SetLimit(maxFlushes)
	for host, asks := range byHost {
		group.Go(func() error {
			for len(asks) > 0 {
				n := min(len(asks), maxBatch)
				l.exchange(ctx, host, asks[:n])
				asks = asks[n:]
			}
			return nil
		})
	}
	_ = group.Wait()
}
