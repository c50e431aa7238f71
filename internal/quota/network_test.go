package quota

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// network is a host's connection to the other hosts.
type network struct {
	fleet *fleet
	host  *fleetHost
}

var errLost = errors.New("message lost")

func (n *network) ExchangeQuota(ctx context.Context, host string, part *wire.QuotaPart) (*wire.QuotaPart, error) {
	answers := make(chan *wire.QuotaPart, 1)
	go n.deliver(host, part, answers)
	select {
	case a := <-answers:
		return a, nil
	case <-ctx.Done():
		return nil, errLost
	}
}

// deliver sends the message to the host and its answer back, or loses either. A
// late message is delivered even if the caller has given up.
func (n *network) deliver(host string, part *wire.QuotaPart, answers chan<- *wire.QuotaPart) {
	target, ok := n.transmit(host)
	if !ok {
		return
	}
	n.tamper(part, nil)
	answer := target.HandleQuota(part, n.host.name)
	n.tamper(part, answer)
	if _, ok := n.transmit(host); !ok {
		return
	}
	n.recordTraffic(part, answer)
	answers <- answer
}

// transmit waits for the transit time of one message and returns the target's
// limiter, or false if the message is lost.
func (n *network) transmit(host string) (*Limiter, bool) {
	f := n.fleet
	f.mu.Lock()
	delay := testMessageDelay + time.Duration(f.rng.Int64N(int64(testMessageDelay)))
	lost := f.rng.Float64() < f.faults.loss
	if f.rng.Float64() < f.faults.late {
		delay = time.Duration(f.rng.Int64N(int64(f.faults.lateBy)))
	}
	f.mu.Unlock()
	time.Sleep(delay)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.hosts {
		if h.name == host {
			partitioned := f.faults.partitioned && h.number%2 != n.host.number%2
			return h.limiter, !lost && !partitioned && !h.dead && !n.host.dead
		}
	}
	return nil, false
}

func (n *network) recordTraffic(request, answer *wire.QuotaPart) {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	n.fleet.exchanges++
	n.fleet.bytes += sizeOf(request) + sizeOf(answer)
}

// tamper modifies requests in transit, or the grants if answer is set.
func (n *network) tamper(request, answer *wire.QuotaPart) {
	n.fleet.mu.Lock()
	change := n.fleet.faults.tamper
	n.fleet.mu.Unlock()
	if change == nil {
		return
	}
	for i, r := range request.GetRequests() {
		if answer == nil {
			change(r, nil)
			continue
		}
		change(nil, answer.GetGrants()[i])
	}
}
