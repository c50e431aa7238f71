package limit

import "time"

// account tracks the known usage of one workspace's rate.
type account struct {
	// total is the usage of all hosts in the window.
	total ring
	// peers is the usage of each other host in the window, by host name.
	peers map[string]*ring
	// consumed is the number of tokens consumed by this process since its
	// start, less refunds.
	consumed int64
	// available is the token bucket's fill level as of refilledAt.
	available  float64
	refilledAt time.Time
}

// refill adds the tokens accrued since the last refill, at rate tokens per
// second, up to capacity.
func (a *account) refill(now time.Time, rate, capacity float64) {
	a.available = min(capacity, a.available+rate*max(0, now.Sub(a.refilledAt).Seconds()))
	a.refilledAt = now
}

// peer returns the usage of a peer, created on first use.
func (a *account) peer(host string) *ring {
	r := a.peers[host]
	if r == nil {
		if a.peers == nil {
			a.peers = make(map[string]*ring)
		}
		r = &ring{}
		a.peers[host] = r
	}
	return r
}

// windowUsage returns the usage of all hosts in the window that ends at a slot.
// Each unreachable host counts for at least share, because it may consume that
// much without its reports being received.
func (a *account) windowUsage(slot int64, unreachable []string, share int64) int64 {
	a.total.advance(slot)
	sum := a.total.sum
	for _, host := range unreachable {
		used := int64(0)
		if usage := a.peers[host]; usage != nil {
			usage.advance(slot)
			used = usage.sum
		}
		sum += max(0, share-used)
	}
	return sum
}

// consume counts tokens consumed by this process.
func (a *account) consume(slot, tokens int64) {
	a.total.advance(slot)
	a.total.add(slot, tokens)
	a.consumed += tokens
	a.available -= float64(tokens)
}

// consumePeer counts tokens consumed by a peer.
func (a *account) consumePeer(slot int64, host string, tokens int64) {
	usage := a.peer(host)
	usage.advance(slot)
	usage.add(slot, tokens)
	a.total.advance(slot)
	a.total.add(slot, tokens)
	a.available -= float64(tokens)
}
