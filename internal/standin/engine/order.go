package engine

import (
	"context"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/pkg/errors"
)

// application is one order being applied or applied. err is set before done
// is closed.
type application struct {
	done chan struct{}
	err  error
}

// Apply implements backing.Engine. The same order sent again waits for the
// first one's outcome. A different order during one in progress is refused as
// unavailable, and recorded as overlapping. A role change first takes no new
// generations, lets all accepted ones end, and then takes Options.RoleChange.
func (e *Engine) Apply(ctx context.Context, o backing.Order) error {
	if err := e.holdIfHung(ctx); err != nil {
		return err
	}
	a, lost, err := e.accept(o)
	if err != nil {
		return err
	}
	select {
	case <-a.done:
	case <-ctx.Done():
		return errors.Wrap(backing.ErrUnknown, ctx.Err().Error())
	}
	if err := e.holdIfHung(ctx); err != nil {
		return err
	}
	if lost {
		return errors.Wrap(backing.ErrUnknown, "answer lost")
	}
	return a.err
}

// accept records the order and starts it, or finds the same one from before.
// lost says that its answer is to be lost.
func (e *Engine) accept(o backing.Order) (a *application, lost bool, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	number := e.recordOrder(o)
	e.received = max(e.received, o.Fence)
	if err := e.checkOrder(o); err != nil {
		e.recordOrderEnd(number, err)
		return nil, false, err
	}
	e.fence = max(e.fence, o.Fence)
	if e.faults.LoseOrderAnswers > 0 {
		e.faults.LoseOrderAnswers--
		lost = true
	}
	if a := e.applied[o.ID]; a != nil {
		e.recordRepeat(number)
		return a, lost, nil
	}
	if e.applying > 0 {
		err := errors.Wrap(backing.ErrUnavailable, "another order is in progress")
		e.recordOrderEnd(number, err)
		return nil, false, err
	}
	a = &application{done: make(chan struct{})}
	e.applied[o.ID] = a
	e.applying++
	e.changing = o.Kind == backing.OrderSetRole && o.Role != e.role
	e.report(time.Now())
	go e.apply(o, a, number, e.life)
	return a, lost, nil
}

// checkOrder refuses an order. Called with mu held.
func (e *Engine) checkOrder(o backing.Order) error {
	switch {
	case e.faults.Crashed:
		return errors.Wrap(backing.ErrUnavailable, "engine crashed")
	case e.options.ChecksFencing && o.Fence < e.fence:
		return errors.Wrapf(backing.ErrFenced, "%d is below %d", o.Fence, e.fence)
	case e.faults.RefuseOrders:
		return errors.Wrap(backing.ErrRejected, "engine refuses orders")
	}
	return nil
}

// apply carries out an accepted order unless the engine crashes first.
func (e *Engine) apply(o backing.Order, a *application, number int, life chan struct{}) {
	err := e.carryOut(o, life)
	e.mu.Lock()
	defer e.mu.Unlock()
	if life == e.life {
		e.applying--
		e.changing = false
	}
	e.recordOrderEnd(number, err)
	a.err = err
	close(a.done)
	e.report(time.Now())
}

func (e *Engine) carryOut(o backing.Order, life chan struct{}) error {
	if o.Kind == backing.OrderSetRole {
		if err := e.drain(life); err != nil {
			return err
		}
	}
	d := e.duration(o)
	if err := wait(life, d/2); err != nil {
		return err
	}
	e.mu.Lock()
	if e.faults.CrashMidOrder {
		e.faults.CrashMidOrder = false
		e.crash()
	}
	e.mu.Unlock()
	if err := wait(life, d-d/2); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if life != e.life {
		return errCrashed
	}
	return e.change(o)
}

// drain waits until all accepted generations have ended.
func (e *Engine) drain(life chan struct{}) error {
	for {
		e.mu.Lock()
		idle, busy := e.idle, len(e.running)+len(e.waiting) > 0
		e.mu.Unlock()
		if !busy {
			return nil
		}
		select {
		case <-idle:
		case <-life:
			return errCrashed
		}
	}
}

// duration is how long the order takes, zero when it changes nothing.
func (e *Engine) duration(o backing.Order) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch o.Kind {
	case backing.OrderSetRole:
		if o.Role != e.role {
			return e.options.RoleChange
		}
	case backing.OrderLoadModel:
		if !e.models[o.Model] {
			return e.options.LoadTime(o.Model, "")
		}
	case backing.OrderLoadAdapter:
		if !e.adapters[adapterName(o.Model, o.Adapter)] {
			return e.options.LoadTime(o.Model, o.Adapter)
		}
	}
	return 0
}

// change puts the order into force. Called with mu held.
func (e *Engine) change(o backing.Order) error {
	adapter := adapterName(o.Model, o.Adapter)
	switch o.Kind {
	case backing.OrderSetRole:
		if _, ok := chunk[o.Role]; !ok {
			return errors.Wrapf(backing.ErrRejected, "role %q", o.Role)
		}
		e.role = o.Role
	case backing.OrderLoadModel:
		e.models[o.Model] = true
	case backing.OrderUnloadModel:
		delete(e.models, o.Model)
	case backing.OrderLoadAdapter:
		e.adapters[adapter] = true
	case backing.OrderUnloadAdapter:
		delete(e.adapters, adapter)
	default:
		return errors.Wrapf(backing.ErrRejected, "order kind %q", o.Kind)
	}
	return nil
}

func wait(life chan struct{}, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-life:
		return errCrashed
	}
}
