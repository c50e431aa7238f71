package snapshot

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/resource"
)

// Retry limits of one append.
const (
	maxAppendAttempts    = 32
	initialReadBackDelay = 20 * time.Millisecond
	maxReadBackDelay     = time.Second
)

// ErrContention reports that every attempt lost the compare-and-swap to another
// writer. Nothing was changed.
var ErrContention = errors.New("configuration head changed on every write attempt")

// Edit builds a change from the view at the head of the log. It sets the items
// and voters of the change; the log sets the other fields. Append may call an
// edit several times, each time with a later view. A change without items and
// voters is not written.
type Edit func(v *View) (Change, error)

// Append writes one change to the log. The edit is called with the view that
// directly precedes the change, so its checks are still valid when the change
// is accepted. Append returns the view after the change, with the change as the
// last element of Step.Changes, and the revision of the change. The revision is
// zero if the edit changed nothing.
//
// After backing.ErrUnavailable, ErrContention or an error of the edit nothing was
// changed. After backing.ErrUnknown the change may have been accepted: the
// store's answer was lost and could not be read back before ctx ended.
func (l *Log) Append(ctx context.Context, from *View, edit Edit) (Step, resource.Revision, error) {
	var applied []Change
	for range maxAppendAttempts {
		h, at, err := l.readHead(ctx)
		if err != nil {
			return Step{}, 0, asUnavailable(err)
		}
		s, err := l.catchUp(ctx, from, h)
		if errors.Is(err, errCompacted) {
			continue
		}
		if err != nil {
			return Step{}, 0, asUnavailable(err)
		}
		from = s.View
		applied = append(applied, s.Changes...)
		a := &attempt{log: l, headRevision: at, head: h, view: from, edit: edit}
		done, err := a.run(ctx)
		if err != nil {
			return Step{}, 0, err
		}
		if done {
			return a.step(applied), a.change.Revision, nil
		}
	}
	return Step{}, 0, ErrContention
}

// asUnavailable converts the error of a store call that changed nothing to
// backing.ErrUnavailable. ErrEncoding is returned as it is.
func asUnavailable(err error) error {
	if errors.Is(err, ErrEncoding) {
		return err
	}
	return errors.Wrap(backing.ErrUnavailable, err.Error())
}

// attempt is one attempt to append a change after a given head.
type attempt struct {
	log          *Log
	headRevision backing.Revision
	head         head
	view         *View
	edit         Edit
	// change is the accepted change; zero if the edit changed nothing.
	change Change
	// next is the view after the change.
	next *View
}

// step returns the result of an accepted attempt. applied are the changes of
// other writers that precede it.
func (a *attempt) step(applied []Change) Step {
	if a.change.Revision > 0 {
		applied = append(applied, a.change)
	}
	return Step{View: a.next, Changes: applied}
}

// run reports whether the change was accepted or the edit was empty. It returns
// false if another writer replaced the head first.
func (a *attempt) run(ctx context.Context) (bool, error) {
	draft, err := a.edit(a.view)
	if err != nil {
		return false, err
	}
	if len(draft.Items) == 0 && draft.Voters == nil {
		a.next = a.view
		return true, nil
	}
	draft.Revision = a.head.Revision + 1
	draft.WriteID = newWriteID()
	for i := range draft.Items {
		draft.Items[i].Revision = draft.Revision
	}
	next, err := a.view.Apply(draft)
	if err != nil {
		return false, err
	}
	plan, err := planHead(a.head, draft, next)
	if err != nil {
		return false, err
	}
	ok, err := a.commit(ctx, plan)
	if ok {
		a.change, a.next = draft, next
	}
	if plan.compacts {
		a.log.deleteUnreferenced(ctx)
	}
	return ok, err
}

func (a *attempt) commit(ctx context.Context, writes plan) (bool, error) {
	for _, obj := range writes.objects {
		if err := a.log.writeObject(ctx, obj); err != nil {
			return false, asUnavailable(err)
		}
	}
	value, err := writes.head.encode()
	if err != nil {
		return false, err
	}
	return a.swapHead(ctx, value, writes.head.WriteIDs[len(writes.head.WriteIDs)-1])
}

// swapHead writes the head and reports whether the write was accepted. If the
// store's answer is lost, it reads the head back: the write ID identifies this
// write, and an unchanged head is written again so that a delayed first write
// can only conflict.
func (a *attempt) swapHead(ctx context.Context, value []byte, writeID string) (bool, error) {
	_, err := a.log.store.CompareAndSwap(ctx, headKey, a.headRevision, value, 0)
	switch {
	case err == nil:
		return true, nil
	case errors.Is(err, backing.ErrConflict):
		return false, nil
	case errors.Is(err, backing.ErrUnavailable):
		return false, errors.Wrap(err, "write configuration head")
	}
	return a.resolveUnknown(ctx, value, writeID)
}

// resolveUnknown retries readBack with a growing delay until the outcome of the
// write is known. It returns backing.ErrUnknown if ctx ends first.
func (a *attempt) resolveUnknown(ctx context.Context, value []byte, writeID string) (bool, error) {
	if a.log.ignoreWriteIDs {
		return false, nil
	}
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval = initialReadBackDelay
	delay.MaxInterval = maxReadBackDelay
	for {
		ok, known := a.readBack(ctx, value, writeID)
		if known {
			return ok, nil
		}
		select {
		case <-ctx.Done():
			return false, errors.Wrap(backing.ErrUnknown, "write configuration head")
		case <-time.After(delay.NextBackOff()):
		}
	}
}

// readBack reports whether the write was accepted, and whether that is known.
func (a *attempt) readBack(ctx context.Context, value []byte, writeID string) (ok, known bool) {
	h, at, err := a.log.readHead(ctx)
	if err != nil {
		return false, false
	}
	if at != a.headRevision {
		return h.containsWrite(writeID, a.head.Revision+1)
	}
	_, err = a.log.store.CompareAndSwap(ctx, headKey, a.headRevision, value, 0)
	return err == nil, err == nil
}
