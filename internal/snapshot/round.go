package snapshot

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Times of a round.
const (
	// roundInterval is the time between two confirmations of a host.
	roundInterval = 700 * time.Millisecond
	// storeTimeout bounds one poll of the head at the store.
	storeTimeout = 300 * time.Millisecond
	// loadTimeout bounds loading a whole snapshot, from the store or a peer.
	loadTimeout = 10 * time.Second
	// objectTimeout bounds reading one segment or page from the store, and
	// pageTimeout one page from a peer, which may have to encode it first.
	objectTimeout = time.Second
	pageTimeout   = 2 * time.Second
	// exchangeTimeout bounds one exchange with a peer, a new connection to a
	// far region included.
	exchangeTimeout = 400 * time.Millisecond
)

// upstreamRounds is after how many rounds with peers the preferred order is
// tried again.
const upstreamRounds = 64

// Run keeps the view current and confirmed until ctx ends.
func (h *Holder) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { h.runUpkeep(ctx) })
	defer wg.Wait()
	ticker := time.NewTicker(roundInterval)
	defer ticker.Stop()
	fresh := false
	for {
		h.round(ctx)
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

// logFreshness logs when the host became fresh or ceased to be, and returns
// which it is.
func (h *Holder) logFreshness(before bool) bool {
	fresh := h.Fresh(time.Now())
	revision := int64(h.Current().revision)
	switch {
	case fresh && !before:
		h.o.Logger.Info("configuration is confirmed", "revision", revision)
	case !fresh && before:
		h.o.Logger.Warn("configuration is no longer confirmed; keyed routes are refused", "revision", revision)
	}
	return fresh
}

// round confirms the view once, at the cheapest place that answers.
func (h *Holder) round(ctx context.Context) {
	d := dutiesOf(h.o.Host, h.o.Domain, h.o.Directory(), h.Current().Voters())
	if !d.reader {
		if !h.confirmWithPeers(ctx, d) {
			h.confirmAtStore(ctx)
		}
		return
	}
	if !h.storeFailed.Load() && h.confirmAtStore(ctx) {
		return
	}
	// While the store does not answer, the peers are asked in parallel to it.
	var g errgroup.Group
	g.Go(func() error {
		h.confirmAtStore(ctx)
		return nil
	})
	g.Go(func() error {
		if !d.voter || !h.confirmWithMajority(ctx) {
			h.confirmWithPeers(ctx, d)
		}
		return nil
	})
	_ = g.Wait()
}

// confirmAtStore reads the head of the log. The age counts from before the
// read was sent.
func (h *Holder) confirmAtStore(ctx context.Context) bool {
	h.cursorMu.Lock()
	defer h.cursorMu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	asOf := h.o.Clock.now()
	s, err := h.o.Log.Read(ctx, h.Current(), &h.cursor)
	h.storeFailed.Store(err != nil)
	if err != nil {
		h.counts.failed.Add(1)
		h.o.Logger.Debug("configuration not confirmed at the store", "error", err.Error())
		return false
	}
	h.counts.store.Add(1)
	if h.flaws.ageFromAnswer {
		asOf = h.o.Clock.now()
	}
	h.install(s)
	h.qualified.Store(true) // The head holds whatever an earlier start acknowledged.
	return h.confirm(asOf, s.View.revision)
}

// confirmWithPeers asks the upstreams, one after the other, until one of them
// gives a fresh confirmation. The one that did so last comes first, until the
// host goes back to the order that it prefers.
func (h *Holder) confirmWithPeers(ctx context.Context, d duties) bool {
	if h.asks++; h.asks%upstreamRounds == 0 {
		h.upstream = ""
	}
	upstreams := lastFirst(h.upstream, d.upstreams)
	for _, peer := range upstreams[:min(len(upstreams), maxUpstreams)] {
		if h.confirmWithPeer(ctx, peer) {
			h.upstream = peer
			return true
		}
	}
	return false
}

// lastFirst moves the last peer to the front if it is among the peers.
func lastFirst(last string, peers []string) []string {
	i := slices.Index(peers, last)
	if i <= 0 {
		return peers
	}
	return slices.Concat(peers[i:i+1], peers[:i], peers[i+1:])
}
