package quota

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// network is a host's way to the others.
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

// deliver takes the message to the host and the answer back, or loses either.
// A message that is late arrives although the caller has given up.
func (n *network) deliver(host string, part *wire.QuotaPart, answers chan<- *wire.QuotaPart) {
	target, ok := n.pass(host)
	if !ok {
		return
	}
	n.tamper(part, nil)
	answer := target.HandleQuota(part, n.host.name)
	n.tamper(part, answer)
	if _, ok := n.pass(host); !ok {
		return
	}
	n.count(part, answer)
	answers <- answer
}

// pass waits as long as one message takes and returns the target's limiter.
func (n *network) pass(host string) (*Limiter, bool) {
	f := n.fleet
	f.mu.Lock()
	delay := testDelay + time.Duration(f.rnd.Int64N(int64(testDelay)))
	lost := f.rnd.Float64() < f.faults.loss
	if f.rnd.Float64() < f.faults.late {
		delay = time.Duration(f.rnd.Int64N(int64(f.faults.lateBy)))
	}
	f.mu.Unlock()
	time.Sleep(delay)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.hosts {
		if h.name == host {
			cut := f.faults.cut && h.number%2 != n.host.number%2
			return h.limiter, !lost && !cut && !h.dead && !n.host.dead
		}
	}
	return nil, false
}

func (n *network) count(request, answer *wire.QuotaPart) {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	n.fleet.exchanges++
	n.fleet.bytes += sizeOf(request) + sizeOf(answer)
}

// tamper changes the requests on their way there, the grants on their way back.
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
