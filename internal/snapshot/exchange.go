package snapshot

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/resource"
	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// Limits of exchanges with peers.
const (
	// maxMessageChangeBytes limits the encoded changes in one message.
	maxMessageChangeBytes = 64 << 10
	// maxPages limits the pages of a snapshot loaded from a peer.
	maxPages = 512
	// maxCatchUpExchanges limits the consecutive exchanges that fetch changes.
	maxCatchUpExchanges = 16
	// maxPageRestarts limits how often loading a snapshot restarts.
	maxPageRestarts = 3
)

// errPeerAnswer reports an unusable answer of a peer.
var errPeerAnswer = errors.New("unusable configuration answer from peer")

// wantNoChanges is the WantAfter value that requests no changes.
const wantNoChanges = -1

// exchange sends one configuration part to a peer and returns its answer.
func (h *Replica) exchange(ctx context.Context, peer string, part *wire.ConfigPart, timeout time.Duration) (*wire.ConfigPart, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	m := &wire.PeerMessage{From: h.options.Host, Config: part}
	answer, err := h.options.Peers.Exchange(ctx, peer, m)
	if err != nil {
		return nil, errors.Wrapf(err, "exchange with %s", peer)
	}
	if answer.GetConfig() == nil {
		return nil, errors.Wrapf(errPeerAnswer, "answer from %s has no configuration part", peer)
	}
	return answer.GetConfig(), nil
}

// confirmWithPeer adopts the peer's confirmation and reports whether it is
// fresh. The age of the confirmation is measured from before the request was
// sent.
func (h *Replica) confirmWithPeer(ctx context.Context, peer string) bool {
	for range maxCatchUpExchanges {
		sent := h.options.Clock.now()
		revision := h.Current().revision
		part := &wire.ConfigPart{Revision: int64(revision), FreshAgeUs: -1, WantAfter: int64(revision)}
		answer, err := h.exchange(ctx, peer, part, exchangeTimeout)
		if err == nil {
			err = h.applyAnswer(ctx, peer, answer)
		}
		if err != nil {
			h.counts.failed.Add(1)
			h.options.Logger.Debug("confirming configuration with peer failed", "peer", peer, "error", err.Error())
			return false
		}
		if h.Current().revision < resource.Revision(answer.GetRevision()) {
			continue
		}
		if answer.GetFreshAgeUs() < 0 {
			return false
		}
		if h.faults.ageFromArrival {
			sent = h.options.Clock.now()
		}
		asOf := sent.minus(time.Duration(answer.GetFreshAgeUs()) * time.Microsecond)
		h.confirm(asOf, resource.Revision(answer.GetRevision()))
		h.qualify(asOf)
		h.counts.peer.Add(1)
		return asOf.age(h.options.Clock.now()) < FreshFor
	}
	return false
}

// qualify lets the host's confirmation count in a majority once the host has
// been confirmed as of a moment at least pushWindow after its start. By then no
// push that an earlier incarnation acknowledged is still being counted.
func (h *Replica) qualify(asOf instant) {
	if h.started.age(asOf) >= pushWindow {
		h.qualified.Store(true)
	}
}

// applyAnswer installs the changes of a peer's answer, or loads the peer's
// snapshot if the answer offers one with a later revision.
func (h *Replica) applyAnswer(ctx context.Context, peer string, answer *wire.ConfigPart) error {
	if len(answer.GetChanges()) > 0 {
		return h.applyEncodedChanges(answer.GetChanges())
	}
	if answer.GetPageCount() > 0 && answer.GetRevision() > int64(h.Current().revision) {
		return h.loadPages(ctx, peer)
	}
	return nil
}

func (h *Replica) applyEncodedChanges(values [][]byte) error {
	changes := make([]Change, 0, len(values))
	for _, value := range values {
		c, err := DecodeChange(value)
		if err != nil {
			return err
		}
		changes = append(changes, c)
	}
	s, err := h.Current().applyAll(changes)
	if err != nil {
		return err
	}
	h.install(s)
	return nil
}

// loadPages loads a full snapshot from a peer, one page per exchange. It
// restarts if the peer switches to another snapshot.
func (h *Replica) loadPages(ctx context.Context, peer string) error {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	var pages [][]byte
	var revision int64
	restarts := 0
	for {
		part := &wire.ConfigPart{
			FreshAgeUs: -1, WantAfter: wantNoChanges,
			WantPage: int32(len(pages) + 1), PageRevision: revision, //nolint:gosec // maxPages bounds it.
		}
		answer, err := h.exchange(ctx, peer, part, pageTimeout)
		if err != nil {
			return err
		}
		if len(answer.GetPages()) != 1 || answer.GetPageCount() > maxPages {
			return errors.Wrapf(errPeerAnswer, "%s sent no page or too many pages", peer)
		}
		if revision != 0 && answer.GetPageRevision() != revision {
			pages, revision = nil, 0
			if restarts++; restarts > maxPageRestarts {
				return errors.Wrapf(errPeerAnswer, "%s changed its snapshot too often", peer)
			}
			continue
		}
		revision = answer.GetPageRevision()
		pages = append(pages, answer.GetPages()[0])
		if len(pages) == int(answer.GetPageCount()) {
			return h.installPages(pages)
		}
	}
}

func (h *Replica) installPages(pages [][]byte) error {
	view, err := decodePages(pages)
	if err != nil {
		return err
	}
	h.install(Step{View: view})
	return nil
}
