package limit

import "time"

// account is what is known to be taken of one workspace's rate.
type account struct {
	// all is what all hosts took in the window.
	all ring
	// peers is what each other host took, by its name.
	peers map[string]*ring
	// spent is what this process took since its start, less what it gave back.
	spent int64
	// level is what may be taken at once, as of refilled.
	level    float64
	refilled time.Time
}

// refill adds what came in since the last time, at a rate a second, up to size.
func (a *account) refill(now time.Time, rate, size float64) {
	a.level = min(size, a.level+rate*max(0, now.Sub(a.refilled).Seconds()))
	a.refilled = now
}

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

// known is what all hosts took in the window ending at a slot. Of each silent
// host it is at least part, for that much it may take without being heard.
func (a *account) known(slot int64, silent []string, part int64) int64 {
	a.all.advance(slot)
	sum := a.all.sum
	for _, host := range silent {
		took := int64(0)
		if r := a.peers[host]; r != nil {
			r.advance(slot)
			took = r.sum
		}
		sum += max(0, part-took)
	}
	return sum
}

// take counts tokens of this process, and heard those of a peer.
func (a *account) take(slot, tokens int64) {
	a.all.advance(slot)
	a.all.add(slot, tokens)
	a.spent += tokens
	a.level -= float64(tokens)
}

func (a *account) heard(slot int64, host string, tokens int64) {
	r := a.peer(host)
	r.advance(slot)
	r.add(slot, tokens)
	a.all.advance(slot)
	a.all.add(slot, tokens)
	a.level -= float64(tokens)
}
