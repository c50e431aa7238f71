package idempotency

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
)

// errClaimTimeout is the cancellation cause of a commit's context after
// Options.ClaimTimeout.
var errClaimTimeout = errors.New("store did not answer in time")

// commit appends a batch to the log and settles its claims. It returns false if
// the batch could not be written: its claims are then refused and its outcomes are
// queued again.
func (s *shard) commit(ctx context.Context, batch []*op) bool {
	ctx, cancel := context.WithTimeoutCause(ctx, s.options.ClaimTimeout, errClaimTimeout)
	defer cancel()
	delay := conflictDelay
	for {
		remaining, err := s.tryCommit(ctx, batch)
		if err == nil {
			return true
		}
		batch = remaining
		switch {
		case errors.Is(err, backing.ErrConflict):
			s.stats.Conflicts.Add(1)
			delay = min(2*delay, 16*conflictDelay)
			if backing.Pause(ctx, jitter(delay)) {
				continue
			}
		case errors.Is(err, backing.ErrUnavailable):
			if backing.Pause(ctx, retryDelay) {
				continue
			}
		}
		s.fail(batch, err)
		return false
	}
}

// tryCommit tries a single write. On failure it returns the entries that remain to
// be written, with force set on those that may already be in the store.
func (s *shard) tryCommit(ctx context.Context, batch []*op) ([]*op, error) {
	if err := s.prepare(ctx, batch); err != nil {
		return batch, err
	}
	batch = s.filterBatch(batch)
	if len(batch) == 0 {
		return nil, nil
	}
	next, value, err := s.build(ctx, batch)
	if err != nil {
		return batch, err
	}
	rev, err := s.write(ctx, value)
	if err != nil {
		s.log.current = false
		forceIfUnknown(batch, err)
		return batch, err
	}
	s.committed(rev, next, batch)
	return nil, nil
}

// prepare reads the head if the batch requires it, or if the cached one may be
// out of date.
func (s *shard) prepare(ctx context.Context, batch []*op) error {
	refresh := !s.log.current || s.contended
	for _, o := range batch {
		refresh = refresh || o.refresh
	}
	if !refresh {
		return nil
	}
	before := s.log.rev
	if err := s.log.refresh(ctx); err != nil {
		if !errors.Is(err, backing.ErrUnavailable) {
			s.log.current = false
			return errors.Wrap(backing.ErrUnavailable, err.Error())
		}
		return err
	}
	s.contended = s.log.rev != before
	for _, o := range batch {
		o.refresh = false
	}
	return nil
}

// build returns the next head with the batch appended, and its encoding. If that
// exceeds Options.MaxPageBytes, it seals the open page first.
func (s *shard) build(ctx context.Context, batch []*op) (head, []byte, error) {
	now := time.Now()
	entries := make([]entry, 0, len(batch))
	for _, o := range batch {
		entries = append(entries, o.entry)
	}
	next := head{Pages: s.log.dropExpired(now, s.log.head.Pages)}
	next.Open = append(append([]entry(nil), s.log.head.Open...), entries...)
	value, err := json.Marshal(next)
	if err != nil {
		return head{}, nil, errors.Wrap(err, "encode claim head")
	}
	if len(value) <= s.options.MaxPageBytes || len(s.log.head.Open) == 0 {
		return next, value, nil
	}
	if err := s.seal(ctx); err != nil {
		return head{}, nil, err
	}
	page := pageRef{Head: s.log.rev, SealedAt: now.Unix()}
	next.Pages = append(append([]pageRef(nil), next.Pages...), page)
	next.Open = entries
	value, err = json.Marshal(next)
	return next, value, errors.Wrap(err, "encode claim head")
}

// seal writes the open page to its own key. A failure has no effect on claims: a
// page is used only once a head refers to it.
func (s *shard) seal(ctx context.Context) error {
	lease, err := s.lease.get(ctx)
	if err == nil {
		err = s.log.seal(ctx, lease)
	}
	if err == nil || errors.Is(err, backing.ErrUnavailable) {
		return err
	}
	if errors.Is(err, backing.ErrLeaseExpired) {
		s.lease.invalidate(lease)
	}
	return errors.Wrap(backing.ErrUnavailable, err.Error())
}

// forceIfUnknown sets force on the batch if the write may have taken effect.
func forceIfUnknown(batch []*op, err error) {
	if !errors.Is(err, errOutcomeUnknown) {
		return
	}
	for _, o := range batch {
		o.force = true
	}
}

// committed installs a head that was written and settles the batch.
func (s *shard) committed(rev backing.Revision, next head, batch []*op) {
	if len(next.Pages) > 0 && next.Pages[len(next.Pages)-1].Head == s.log.rev {
		s.log.markSealed(s.log.rev)
	}
	s.log.setHead(rev, next)
	for _, o := range batch {
		s.entryCommitted(o)
	}
}

// entryCommitted settles an entry that is in the store. A claim whose waiter has
// given up is abandoned.
func (s *shard) entryCommitted(o *op) {
	if !o.isClaim() {
		o.notifyRecorded()
		return
	}
	if o.settle(opResult{}) {
		s.stats.Claims.Add(1)
		return
	}
	s.abandon(o.entry)
}

// abandon queues the entry that releases the key. Only the owner of the claim may
// call it, and only if nothing was sent.
func (s *shard) abandon(claim entry) {
	claim.State = stateAbandoned
	s.enqueueOutcome(&op{entry: claim, force: true})
}

// fail refuses the claims of a batch and queues its outcomes again. Claims that may
// be in the store are abandoned.
func (s *shard) fail(batch []*op, cause error) {
	var requeued []*op
	for _, o := range batch {
		if !o.isClaim() {
			requeued = append(requeued, o)
			continue
		}
		if o.force {
			abandoned := o.entry
			abandoned.State = stateAbandoned
			requeued = append(requeued, &op{entry: abandoned, force: true})
		}
		o.settle(opResult{err: errStoreUnavailable(cause)})
	}
	s.requeue(requeued)
}
