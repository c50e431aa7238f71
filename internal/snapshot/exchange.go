package snapshot

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/resource"
	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// Bounds of exchanges.
const (
	// maxPartBytes bounds the changes in one message.
	maxPartBytes = 64 << 10
	// maxPages bounds the pages that a host loads from a peer.
	maxPages = 512
	// maxDeltas bounds the exchanges in a row that catch up by changes.
	maxDeltas = 16
	// maxPageRestarts bounds how often a load starts again.
	maxPageRestarts = 3
)

// errPeer means that a peer's answer is of no use.
var errPeer = errors.New("peer cannot confirm the configuration")

// wantNothing asks a peer for no changes.
const wantNothing = -1

// exchange sends one part to a peer.
func (h *Holder) exchange(ctx context.Context, peer string, part *wire.ConfigPart, timeout time.Duration) (*wire.ConfigPart, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	m := &wire.PeerMessage{From: h.o.Host, Config: part}
	answer, err := h.o.Peers.Exchange(ctx, peer, m)
	if err != nil {
		return nil, errors.Wrapf(err, "exchange with %s", peer)
	}
	if answer.GetConfig() == nil {
		return nil, errors.Wrapf(errPeer, "%s sent no configuration part", peer)
	}
	return answer.GetConfig(), nil
}

// confirmWithPeer takes over the peer's confirmation. Its age counts from
// before the request was sent.
func (h *Holder) confirmWithPeer(ctx context.Context, peer string) bool {
	for range maxDeltas {
		sent := h.o.Clock.now()
		revision := h.Current().revision
		part := &wire.ConfigPart{Revision: int64(revision), FreshAgeUs: -1, WantAfter: int64(revision)}
		answer, err := h.exchange(ctx, peer, part, exchangeTimeout)
		if err == nil {
			err = h.take(ctx, peer, answer)
		}
		if err != nil {
			h.counts.failed.Add(1)
			h.o.Logger.Debug("configuration not confirmed", "peer", peer, "error", err.Error())
			return false
		}
		if h.Current().revision < resource.Revision(answer.GetRevision()) {
			continue
		}
		if answer.GetFreshAgeUs() < 0 {
			return false
		}
		if h.flaws.ageFromAnswer {
			sent = h.o.Clock.now()
		}
		asOf := sent.minus(time.Duration(answer.GetFreshAgeUs()) * time.Microsecond)
		h.confirm(asOf, resource.Revision(answer.GetRevision()))
		h.qualify(asOf)
		h.counts.peer.Add(1)
		return asOf.age(h.o.Clock.now()) < FreshFor
	}
	return false
}

// qualify lets the host vouch once it knows a moment so long after its start
// that no push which an earlier start acknowledged is still being counted.
func (h *Holder) qualify(asOf instant) {
	if h.started.age(asOf) >= pushWindow {
		h.qualified.Store(true)
	}
}

// take installs what a peer's answer brings.
func (h *Holder) take(ctx context.Context, peer string, answer *wire.ConfigPart) error {
	if len(answer.GetChanges()) > 0 {
		return h.takeChanges(answer.GetChanges())
	}
	if answer.GetPageCount() > 0 && answer.GetRevision() > int64(h.Current().revision) {
		return h.loadPages(ctx, peer)
	}
	return nil
}

func (h *Holder) takeChanges(values [][]byte) error {
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

// loadPages loads a whole snapshot from a peer, one page an exchange. It
// starts again when the peer has another snapshot by then.
func (h *Holder) loadPages(ctx context.Context, peer string) error {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	var pages [][]byte
	var revision int64
	restarts := 0
	for {
		part := &wire.ConfigPart{
			FreshAgeUs: -1, WantAfter: wantNothing,
			WantPage: int32(len(pages) + 1), PageRevision: revision, //nolint:gosec // maxPages bounds it.
		}
		answer, err := h.exchange(ctx, peer, part, pageTimeout)
		if err != nil {
			return err
		}
		if len(answer.GetPages()) != 1 || answer.GetPageCount() > maxPages {
			return errors.Wrapf(errPeer, "%s sent no page", peer)
		}
		if revision != 0 && answer.GetPageRevision() != revision {
			pages, revision = nil, 0
			if restarts++; restarts > maxPageRestarts {
				return errors.Wrapf(errPeer, "%s changed its snapshot too often", peer)
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

func (h *Holder) installPages(pages [][]byte) error {
	v, err := decodePages(pages)
	if err != nil {
		return err
	}
	h.install(Step{View: v})
	return nil
}
