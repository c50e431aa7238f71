package once

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
)

// errClaimWait means that the store did not settle a claim in time.
var errClaimWait = errors.New("the store did not answer in time")

// commit appends a batch to the log and settles its claims. It reports false
// when the store failed; lines that are no claims are then queued again.
func (s *shard) commit(ctx context.Context, batch []*op) bool {
	ctx, cancel := context.WithTimeoutCause(ctx, s.options.ClaimWait, errClaimWait)
	defer cancel()
	delay := conflictDelay
	for {
		rest, err := s.attempt(ctx, batch)
		if err == nil {
			return true
		}
		batch = rest
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

// attempt tries one write. It returns the lines that are still to be written;
// those whose outcome could not be settled have force set.
func (s *shard) attempt(ctx context.Context, batch []*op) ([]*op, error) {
	if err := s.prepare(ctx, batch); err != nil {
		return batch, err
	}
	batch = s.answerKnown(batch)
	if len(batch) == 0 {
		return nil, nil
	}
	next, value, err := s.build(ctx, batch)
	if err != nil {
		return batch, err
	}
	rev, err := s.write(ctx, value)
	if err != nil {
		s.log.known = false
		markUnsettled(batch, err)
		return batch, err
	}
	s.accept(rev, next, batch)
	return nil, nil
}

// prepare makes the log current enough for the batch.
func (s *shard) prepare(ctx context.Context, batch []*op) error {
	fresh := !s.log.known || s.foreign
	for _, o := range batch {
		fresh = fresh || o.fresh
	}
	if !fresh {
		return nil
	}
	before := s.log.rev
	if err := s.log.refresh(ctx); err != nil {
		if !errors.Is(err, backing.ErrUnavailable) {
			s.log.known = false
			return errors.Wrap(backing.ErrUnavailable, err.Error())
		}
		return err
	}
	s.foreign = s.log.rev != before
	for _, o := range batch {
		o.fresh = false
	}
	return nil
}

// build returns the next head with the batch appended and its encoding. It
// seals the open page first when that is full.
func (s *shard) build(ctx context.Context, batch []*op) (head, []byte, error) {
	now := time.Now()
	lines := make([]entry, 0, len(batch))
	for _, o := range batch {
		lines = append(lines, o.entry)
	}
	next := head{Pages: s.log.dropExpired(now, s.log.head.Pages)}
	next.Open = append(append([]entry(nil), s.log.head.Open...), lines...)
	value, err := json.Marshal(next)
	if err != nil {
		return head{}, nil, errors.Wrap(err, "encode a claim head")
	}
	if len(value) <= s.options.SealBytes || len(s.log.head.Open) == 0 {
		return next, value, nil
	}
	if err := s.seal(ctx); err != nil {
		return head{}, nil, err
	}
	page := pageRef{Head: s.log.rev, Newest: now.Unix()}
	next.Pages = append(append([]pageRef(nil), next.Pages...), page)
	next.Open = lines
	value, err = json.Marshal(next)
	return next, value, errors.Wrap(err, "encode a claim head")
}

// seal writes the open page away. A failure has no effect on claims: a page
// counts only once a head names it.
func (s *shard) seal(ctx context.Context) error {
	lease, err := s.lease.get(ctx)
	if err == nil {
		err = s.log.seal(ctx, lease)
	}
	if err == nil || errors.Is(err, backing.ErrUnavailable) {
		return err
	}
	if errors.Is(err, backing.ErrLeaseExpired) {
		s.lease.forget(lease)
	}
	return errors.Wrap(backing.ErrUnavailable, err.Error())
}

// markUnsettled notes on the claims of a batch that they may be in the store.
func markUnsettled(batch []*op, err error) {
	if !errors.Is(err, errUnsettled) {
		return
	}
	for _, o := range batch {
		o.force = true
	}
}

// accept takes a head that was written and settles the batch.
func (s *shard) accept(rev backing.Revision, next head, batch []*op) {
	if len(next.Pages) > 0 && next.Pages[len(next.Pages)-1].Head == s.log.rev {
		s.log.sealed(s.log.rev)
	}
	s.log.adopt(rev, next)
	for _, o := range batch {
		s.accepted(o)
	}
}

// accepted settles one line that is in the store.
func (s *shard) accepted(o *op) {
	if !o.isClaim() {
		o.done()
		return
	}
	if o.settle(opResult{}) {
		s.stats.Claims.Add(1)
		return
	}
	s.abandon(o.entry)
}

// abandon queues the line that sets the key free again. Only the one who
// holds the claim calls it, and only when nothing was sent.
func (s *shard) abandon(claim entry) {
	claim.State = stateAbandoned
	s.record(&op{entry: claim, force: true})
}

// fail refuses the claims of a batch and keeps its other lines.
func (s *shard) fail(batch []*op, cause error) {
	var keep []*op
	for _, o := range batch {
		if !o.isClaim() {
			keep = append(keep, o)
			continue
		}
		if o.force {
			lost := o.entry
			lost.State = stateAbandoned
			keep = append(keep, &op{entry: lost, force: true})
		}
		o.settle(opResult{err: errStoreDown(cause)})
	}
	s.requeue(keep)
}
