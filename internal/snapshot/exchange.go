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
func (r *Replica) exchange(ctx context.Context, peer string, part *wire.ConfigPart, timeout time.Duration) (*wire.ConfigPart, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	m := &wire.PeerMessage{From: r.options.Host, Config: part}
	answer, err := r.options.Peers.Exchange(ctx, peer, m)
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
func (r *Replica) confirmWithPeer(ctx context.Context, peer string) bool {
	for range maxCatchUpExchanges {
		sent := r.options.Clock.now()
		revision := r.Current().revision
		part := &wire.ConfigPart{Revision: int64(revision), FreshAgeUs: -1, WantAfter: int64(revision)}
		answer, err := r.exchange(ctx, peer, part, exchangeTimeout)
		if err == nil {
			err = r.applyAnswer(ctx, peer, answer)
		}
		if err != nil {
			r.counts.failed.Add(1)
			r.options.Logger.Debug("confirming configuration with peer failed", "peer", peer, "error", err.Error())
			return false
		}
		if r.Current().revision < resource.Revision(answer.GetRevision()) {
			continue
		}
		if answer.GetFreshAgeUs() < 0 {
			return false
		}
		if r.faults.ageFromArrival {
			sent = r.options.Clock.now()
		}
		asOf := sent.minus(time.Duration(answer.GetFreshAgeUs()) * time.Microsecond)
		r.confirm(asOf, resource.Revision(answer.GetRevision()))
		r.qualify(asOf)
		r.counts.peer.Add(1)
		return asOf.age(r.options.Clock.now()) < FreshFor
	}
	return false
}

// qualify lets the host's confirmation count in a majority once the host has
// been confirmed as of a moment at least pushWindow after its start. By then no
// push that an earlier incarnation acknowledged is still being counted.
func (r *Replica) qualify(asOf instant) {
	if r.started.age(asOf) >= pushWindow {
		r.qualified.Store(true)
	}
}

// applyAnswer installs the changes of a peer's answer, or loads the peer's
// snapshot if the answer offers one with a later revision.
func (r *Replica) applyAnswer(ctx context.Context, peer string, answer *wire.ConfigPart) error {
	if len(answer.GetChanges()) > 0 {
		return r.applyEncodedChanges(answer.GetChanges())
	}
	if answer.GetPageCount() > 0 && answer.GetRevision() > int64(r.Current().revision) {
		return r.loadPages(ctx, peer)
	}
	return nil
}

func (r *Replica) applyEncodedChanges(values [][]byte) error {
	changes := make([]Change, 0, len(values))
	for _, value := range values {
		c, err := DecodeChange(value)
		if err != nil {
			return err
		}
		changes = append(changes, c)
	}
	s, err := r.Current().applyAll(changes)
	if err != nil {
		return err
	}
	r.install(s)
	return nil
}

// loadPages loads a full snapshot from a peer, one page per exchange. It
// restarts if the peer switches to another snapshot.
func (r *Replica) loadPages(ctx context.Context, peer string) error {
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
		answer, err := r.exchange(ctx, peer, part, pageTimeout)
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
			return r.installPages(pages)
		}
	}
}

func (r *Replica) installPages(pages [][]byte) error {
	view, err := decodePages(pages)
	if err != nil {
		return err
	}
	r.install(Step{View: view})
	return nil
}
