package snapshot

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/resource"
)

// Bounds of one append.
const (
	maxAppendTries   = 32
	firstSettlePause = 20 * time.Millisecond
	maxSettlePause   = time.Second
)

// ErrBusy means that other writers were faster each time; nothing was changed.
var ErrBusy = errors.New("configuration changes too fast")

// Edit decides a change on the view at the head. It returns the items and
// voters of the change; the log fills in the rest. An edit may be called
// several times, each time with a later view. A draft without items and voters
// changes nothing.
type Edit func(v *View) (Change, error)

// Append accepts one change. The edit sees the view that the change follows,
// so what it checked holds when the change is accepted. It returns the view
// after the change, and the change as the last of the step's changes; its
// revision is zero when the edit changed nothing.
//
// ErrUnavailable and the edit's own error mean that nothing was changed.
// ErrUnknown means that the change may have been accepted: the store's answer
// was lost and could not be read back before ctx ended.
func (l *Log) Append(ctx context.Context, from *View, edit Edit) (Step, resource.Revision, error) {
	var passed []Change
	for range maxAppendTries {
		h, at, err := l.readHead(ctx)
		if err != nil {
			return Step{}, 0, unavailable(err)
		}
		s, err := l.catchUp(ctx, from, h)
		if errors.Is(err, errFolded) {
			continue
		}
		if err != nil {
			return Step{}, 0, unavailable(err)
		}
		from = s.View
		passed = append(passed, s.Changes...)
		a := &attempt{log: l, at: at, head: h, view: from, edit: edit}
		done, err := a.run(ctx)
		if err != nil {
			return Step{}, 0, err
		}
		if done {
			return a.step(passed), a.change.Revision, nil
		}
	}
	return Step{}, 0, ErrBusy
}

// unavailable marks an error of a call that changes nothing.
func unavailable(err error) error {
	if errors.Is(err, ErrEncoding) {
		return err
	}
	return errors.Wrap(backing.ErrUnavailable, err.Error())
}

// attempt is one try to put a change after one head.
type attempt struct {
	log  *Log
	at   backing.Revision
	head head
	view *View
	edit Edit
	// change and next are the result.
	change Change
	next   *View
}

// step is the result of an accepted attempt after the changes passed.
func (a *attempt) step(passed []Change) Step {
	if a.change.Revision > 0 {
		passed = append(passed, a.change)
	}
	return Step{View: a.next, Changes: passed}
}

// run returns true when the change is accepted or there is none, and false
// when another writer was faster.
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
	draft.Mark = newMark()
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
	if plan.folds {
		a.log.sweep(ctx)
	}
	return ok, err
}

func (a *attempt) commit(ctx context.Context, p plan) (bool, error) {
	for _, o := range p.objects {
		if err := a.log.writeObject(ctx, o); err != nil {
			return false, unavailable(err)
		}
	}
	value, err := p.head.encode()
	if err != nil {
		return false, err
	}
	return a.swap(ctx, value, p.head.Marks[len(p.head.Marks)-1])
}

// swap writes the head. A lost answer is settled by reading back: the mark
// tells the own write, and a head that has not moved is written again, so that
// a delayed first write can only conflict.
func (a *attempt) swap(ctx context.Context, value []byte, mark string) (bool, error) {
	_, err := a.log.store.CompareAndSwap(ctx, headKey, a.at, value, 0)
	switch {
	case err == nil:
		return true, nil
	case errors.Is(err, backing.ErrConflict):
		return false, nil
	case errors.Is(err, backing.ErrUnavailable):
		return false, errors.Wrap(err, "write configuration head")
	}
	return a.settle(ctx, value, mark)
}

func (a *attempt) settle(ctx context.Context, value []byte, mark string) (bool, error) {
	if a.log.forgetMark {
		return false, nil
	}
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = firstSettlePause
	pause.MaxInterval = maxSettlePause
	for {
		ok, known := a.readBack(ctx, value, mark)
		if known {
			return ok, nil
		}
		select {
		case <-ctx.Done():
			return false, errors.Wrap(backing.ErrUnknown, "write configuration head")
		case <-time.After(pause.NextBackOff()):
		}
	}
}

// readBack says whether the write is accepted, when that can be known.
func (a *attempt) readBack(ctx context.Context, value []byte, mark string) (ok, known bool) {
	h, at, err := a.log.readHead(ctx)
	if err != nil {
		return false, false
	}
	if at != a.at {
		return h.wrote(mark, a.head.Revision+1)
	}
	_, err = a.log.store.CompareAndSwap(ctx, headKey, a.at, value, 0)
	return err == nil, err == nil
}
