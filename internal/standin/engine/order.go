package engine

import (
	"context"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/pkg/errors"
)

// orderExecution is the execution of one order, in progress or complete. err is
// set before done is closed.
type orderExecution struct {
	done chan struct{}
	err  error
}

// Apply implements backing.Engine. A repeated order waits for the outcome of
// the first one. A different order while one is in progress is refused as
// unavailable and recorded as overlapping. A role change refuses new
// generations, waits until all accepted ones have ended, and then lasts for
// Options.RoleChange.
func (e *Engine) Apply(ctx context.Context, o backing.Order) error {
	if err := e.waitWhileHung(ctx); err != nil {
		return err
	}
	execution, lost, err := e.acceptOrder(o)
	if err != nil {
		return err
	}
	select {
	case <-execution.done:
	case <-ctx.Done():
		return errors.Wrap(backing.ErrUnknown, ctx.Err().Error())
	}
	if err := e.waitWhileHung(ctx); err != nil {
		return err
	}
	if lost {
		return errors.Wrap(backing.ErrUnknown, "answer lost")
	}
	return execution.err
}

// acceptOrder records the order and starts its execution, or returns the
// existing execution of a repeated order. lost reports whether the answer is to
// be lost.
func (e *Engine) acceptOrder(o backing.Order) (execution *orderExecution, lost bool, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	number := e.recordOrder(o)
	e.receivedFence = max(e.receivedFence, o.Fence)
	if err := e.checkOrder(o); err != nil {
		e.recordOrderEnd(number, err)
		return nil, false, err
	}
	e.acceptedFence = max(e.acceptedFence, o.Fence)
	if e.faults.LoseOrderAnswers > 0 {
		e.faults.LoseOrderAnswers--
		lost = true
	}
	if execution := e.executions[o.ID]; execution != nil {
		e.recordRepeat(number)
		return execution, lost, nil
	}
	if e.executing > 0 {
		err := errors.Wrap(backing.ErrUnavailable, "another order is in progress")
		e.recordOrderEnd(number, err)
		return nil, false, err
	}
	execution = &orderExecution{done: make(chan struct{})}
	e.executions[o.ID] = execution
	e.executing++
	e.changingRole = o.Kind == backing.OrderSetRole && o.Role != e.role
	e.recordLoad(time.Now())
	go e.executeOrder(o, execution, number, e.incarnation)
	return execution, lost, nil
}

// checkOrder returns an error if the order must be refused. The caller must
// hold mu.
func (e *Engine) checkOrder(o backing.Order) error {
	switch {
	case e.faults.Crashed:
		return errors.Wrap(backing.ErrUnavailable, "engine crashed")
	case e.options.ChecksFencing && o.Fence < e.acceptedFence:
		return errors.Wrapf(backing.ErrFenced, "%d is below %d", o.Fence, e.acceptedFence)
	case e.faults.RefuseOrders:
		return errors.Wrap(backing.ErrRejected, "engine refuses orders")
	}
	return nil
}

// executeOrder runs an accepted order and records its result. number is the
// record number of the order.
func (e *Engine) executeOrder(o backing.Order, execution *orderExecution, number int, incarnation chan struct{}) {
	err := e.runOrder(o, incarnation)
	e.mu.Lock()
	defer e.mu.Unlock()
	if incarnation == e.incarnation {
		e.executing--
		e.changingRole = false
	}
	e.recordOrderEnd(number, err)
	execution.err = err
	close(execution.done)
	e.recordLoad(time.Now())
}

// runOrder waits for the duration of the order and then commits it. It returns
// errCrashed if the engine crashes first.
func (e *Engine) runOrder(o backing.Order, incarnation chan struct{}) error {
	if o.Kind == backing.OrderSetRole {
		if err := e.drain(incarnation); err != nil {
			return err
		}
	}
	d := e.orderDuration(o)
	if err := sleepUnlessCrashed(incarnation, d/2); err != nil {
		return err
	}
	e.mu.Lock()
	if e.faults.CrashMidOrder {
		e.faults.CrashMidOrder = false
		e.crash()
	}
	e.mu.Unlock()
	if err := sleepUnlessCrashed(incarnation, d-d/2); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if incarnation != e.incarnation {
		return errCrashed
	}
	return e.commitOrder(o)
}

// drain waits until all accepted generations have ended.
func (e *Engine) drain(incarnation chan struct{}) error {
	for {
		e.mu.Lock()
		idle, busy := e.idle, len(e.running)+len(e.waiting) > 0
		e.mu.Unlock()
		if !busy {
			return nil
		}
		select {
		case <-idle:
		case <-incarnation:
			return errCrashed
		}
	}
}

// orderDuration returns the time that the order takes; zero if it changes
// nothing or is an unload.
func (e *Engine) orderDuration(o backing.Order) time.Duration {
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

// commitOrder applies the change that the order requests. The caller must hold
// mu.
func (e *Engine) commitOrder(o backing.Order) error {
	adapter := adapterName(o.Model, o.Adapter)
	switch o.Kind {
	case backing.OrderSetRole:
		if _, ok := prefillChunk[o.Role]; !ok {
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

// sleepUnlessCrashed waits for d. It returns errCrashed if the engine crashes
// first.
func sleepUnlessCrashed(incarnation chan struct{}, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-incarnation:
		return errCrashed
	}
}
