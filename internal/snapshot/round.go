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
func (h *Replica) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { h.runVoterMaintenance(ctx) })
	defer wg.Wait()
	ticker := time.NewTicker(roundInterval)
	defer ticker.Stop()
	fresh := false
	for {
		h.confirmOnce(ctx)
		h.pages.expire()
		fresh = h.logFreshness(fresh)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-h.wake:
		}
	}
}

// logFreshness logs a change of the host's freshness and returns the present
// one.
func (h *Replica) logFreshness(before bool) bool {
	fresh := h.Fresh(time.Now())
	revision := int64(h.Current().revision)
	switch {
	case fresh && !before:
		h.options.Logger.Info("configuration is fresh", "revision", revision)
	case !fresh && before:
		h.options.Logger.Warn("configuration is stale; rejecting requests of keyed routes", "revision", revision)
	}
	return fresh
}

// confirmOnce runs one round: it confirms the view at the cheapest source that
// answers.
func (h *Replica) confirmOnce(ctx context.Context) {
	role := hostRoleOf(h.options.Host, h.options.Domain, h.options.Directory(), h.Current().Voters())
	if !role.storeReader {
		if !h.confirmWithPeers(ctx, role) {
			h.confirmAtStore(ctx)
		}
		return
	}
	if !h.storeFailed.Load() && h.confirmAtStore(ctx) {
		return
	}
	// While the store does not answer, the store and the peers are asked in
	// parallel.
	var group errgroup.Group
	group.Go(func() error {
		h.confirmAtStore(ctx)
		return nil
	})
	group.Go(func() error {
		if !role.voter || !h.confirmWithMajority(ctx) {
			h.confirmWithPeers(ctx, role)
		}
		return nil
	})
	_ = group.Wait()
}

// confirmAtStore confirms the view by reading the head of the log, and reports
// whether it succeeded. The age of the confirmation is measured from before the
// read was sent.
func (h *Replica) confirmAtStore(ctx context.Context) bool {
	h.cursorMu.Lock()
	defer h.cursorMu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	asOf := h.options.Clock.now()
	step, err := h.options.Log.Read(ctx, h.Current(), &h.cursor)
	h.storeFailed.Store(err != nil)
	if err != nil {
		h.counts.failed.Add(1)
		h.options.Logger.Debug("confirming configuration at the store failed", "error", err.Error())
		return false
	}
	h.counts.store.Add(1)
	if h.faults.ageFromArrival {
		asOf = h.options.Clock.now()
	}
	h.install(step)
	h.qualified.Store(true) // The head includes every change that an earlier incarnation acknowledged.
	return h.confirm(asOf, step.View.revision)
}

// confirmWithPeers asks the upstreams in sequence until one of them provides a
// fresh confirmation. The upstream that confirmed last is asked first, until the
// host returns to its preferred order after upstreamResetRounds.
func (h *Replica) confirmWithPeers(ctx context.Context, role hostRole) bool {
	if h.peerRounds++; h.peerRounds%upstreamResetRounds == 0 {
		h.lastUpstream = ""
	}
	upstreams := moveToFront(h.lastUpstream, role.upstreams)
	for _, peer := range upstreams[:min(len(upstreams), maxUpstreams)] {
		if h.confirmWithPeer(ctx, peer) {
			h.lastUpstream = peer
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
