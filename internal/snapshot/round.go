package snapshot

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Intervals and timeouts of confirmation rounds.
const (
	// roundInterval is the time between two confirmation rounds of a host.
	roundInterval = 700 * time.Millisecond
	// storeTimeout limits one poll of the head at the store.
	storeTimeout = 300 * time.Millisecond
	// loadTimeout limits loading a full snapshot from the store or a peer.
	loadTimeout = 10 * time.Second
	// objectTimeout limits reading one segment or page from the store.
	objectTimeout = time.Second
	// pageTimeout limits loading one page from a peer, which may have to encode
	// the snapshot first.
	pageTimeout = 2 * time.Second
	// exchangeTimeout limits one exchange with a peer, including a new
	// connection to a remote region.
	exchangeTimeout = 400 * time.Millisecond
)

// upstreamResetRounds is the number of rounds with peers after which the host
// returns to its preferred order of upstreams.
const upstreamResetRounds = 64

// Run keeps the view current and confirmed, and maintains the list of voters,
// until ctx ends.
func (r *Replica) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { r.runVoterMaintenance(ctx) })
	defer wg.Wait()
	ticker := time.NewTicker(roundInterval)
	defer ticker.Stop()
	fresh := false
	for {
		r.confirmOnce(ctx)
		r.pages.expire()
		fresh = r.logFreshness(fresh)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-r.wake:
		}
	}
}

// logFreshness logs a change of the host's freshness and returns whether the
// host is fresh now.
func (r *Replica) logFreshness(before bool) bool {
	fresh := r.Fresh(time.Now())
	revision := int64(r.Current().revision)
	switch {
	case fresh && !before:
		r.options.Logger.Info("configuration is fresh", "revision", revision)
	case !fresh && before:
		r.options.Logger.Warn("configuration is stale; rejecting requests of keyed routes", "revision", revision)
	}
	return fresh
}

// confirmOnce runs one round: it confirms the view at the cheapest source that
// answers.
func (r *Replica) confirmOnce(ctx context.Context) {
	role := hostRoleOf(r.options.Host, r.options.Domain, r.options.Directory(), r.Current().Voters())
	if !role.storeReader {
		if !r.confirmWithPeers(ctx, role) {
			r.confirmAtStore(ctx)
		}
		return
	}
	if !r.storeFailed.Load() && r.confirmAtStore(ctx) {
		return
	}
	// While the store does not answer, the store and the peers are asked in
	// parallel.
	var group errgroup.Group
	group.Go(func() error {
		r.confirmAtStore(ctx)
		return nil
	})
	group.Go(func() error {
		if !role.voter || !r.confirmWithMajority(ctx) {
			r.confirmWithPeers(ctx, role)
		}
		return nil
	})
	_ = group.Wait()
}

// confirmAtStore confirms the view by reading the head of the log, and reports
// whether it succeeded. The age of the confirmation is measured from before the
// read was sent.
func (r *Replica) confirmAtStore(ctx context.Context) bool {
	r.cursorMu.Lock()
	defer r.cursorMu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	asOf := r.options.Clock.now()
	step, err := r.options.Log.Read(ctx, r.Current(), &r.cursor)
	r.storeFailed.Store(err != nil)
	if err != nil {
		r.counts.failed.Add(1)
		r.options.Logger.Debug("confirming configuration at the store failed", "error", err.Error())
		return false
	}
	r.counts.store.Add(1)
	if r.faults.ageFromArrival {
		asOf = r.options.Clock.now()
	}
	r.install(step)
	r.qualified.Store(true) // The head includes every change that an earlier incarnation acknowledged.
	return r.confirm(asOf, step.View.revision)
}

// confirmWithPeers asks the upstreams in sequence until one of them provides a
// fresh confirmation. The upstream that confirmed last is asked first, until the
// host returns to its preferred order after upstreamResetRounds.
func (r *Replica) confirmWithPeers(ctx context.Context, role hostRole) bool {
	if r.peerRounds++; r.peerRounds%upstreamResetRounds == 0 {
		r.lastUpstream = ""
	}
	upstreams := moveToFront(r.lastUpstream, role.upstreams)
	for _, peer := range upstreams[:min(len(upstreams), maxUpstreams)] {
		if r.confirmWithPeer(ctx, peer) {
			r.lastUpstream = peer
			return true
		}
	}
	return false
}

// moveToFront returns the peers with the given one moved to the front, if it is
// among them.
func moveToFront(first string, peers []string) []string {
	i := slices.Index(peers, first)
	if i <= 0 {
		return peers
	}
	return slices.Concat(peers[i:i+1], peers[:i], peers[i+1:])
}
