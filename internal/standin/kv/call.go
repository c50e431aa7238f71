package kv

import (
	"context"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/pkg/errors"
)

// maxSilence bounds a call of a silent store whose context has no deadline.
const maxSilence = time.Minute

// call runs one call through the faults: act runs with the store's lock held.
func (c *Client) call(ctx context.Context, op Op, key string, act func(s *Store) error) error {
	delay, err := c.begin(ctx, op, key)
	if err != nil {
		return err
	}
	if err := pause(ctx, op, delay/2); err != nil {
		return err
	}
	if op.writes() && c.actsLate(act) {
		return lostAnswer(op, "write is still under way")
	}
	c.store.mu.Lock()
	err = act(c.store)
	c.store.mu.Unlock()
	if lost := c.finish(ctx, op, delay-delay/2); lost != nil {
		return lost
	}
	return err
}

// begin counts the call and applies the faults that keep it from acting.
func (c *Client) begin(ctx context.Context, op Op, key string) (time.Duration, error) {
	own, all := c.state(), c.shared.state()
	s := c.store
	s.mu.Lock()
	s.counts.add(op, key)
	limited := !s.bucketFor(op).take(time.Now())
	down := own.down || all.down
	silent := own.silent || all.silent
	switch {
	case down || silent:
		s.counts.Refused++
	case limited:
		s.counts.Limited++
	}
	s.mu.Unlock()
	switch {
	case down:
		return 0, errors.Wrap(backing.ErrUnavailable, "store is down")
	case silent:
		return 0, silence(ctx, op)
	case limited:
		return 0, errors.Wrap(backing.ErrUnavailable, "rate limit")
	}
	delay := all.delay
	if own.delay > delay {
		delay = own.delay
	}
	return delay, nil
}

// finish applies the faults that lose the answer of a call that acted.
func (c *Client) finish(ctx context.Context, op Op, delay time.Duration) error {
	if err := pause(ctx, op, delay); err != nil {
		return err
	}
	own, all := c.state(), c.shared.state()
	if own.down || all.down {
		return lostAnswer(op, "store went down")
	}
	if own.silent || all.silent {
		return silence(ctx, op)
	}
	if !op.writes() {
		return nil
	}
	lost := c.losesAnswer()
	if !lost && c.Faults != c.shared {
		lost = c.shared.losesAnswer()
	}
	if !lost {
		return nil
	}
	c.store.mu.Lock()
	c.store.counts.Lost++
	c.store.mu.Unlock()
	return lostAnswer(op, "answer lost")
}

func (s *Store) bucketFor(op Op) *bucket {
	if op.writes() {
		return &s.writes
	}
	return &s.reads
}

// lostAnswer is what a caller sees without an answer: a read had no effect, a
// write may have had one.
func lostAnswer(op Op, text string) error {
	if op.writes() {
		return errors.Wrap(backing.ErrUnknown, text)
	}
	return errors.Wrap(backing.ErrUnavailable, text)
}

func silence(ctx context.Context, op Op) error {
	if err := pause(ctx, op, maxSilence); err != nil {
		return err
	}
	return lostAnswer(op, "no answer")
}

func pause(ctx context.Context, op Op, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return lostAnswer(op, ctx.Err().Error())
	}
}
