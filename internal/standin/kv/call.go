package kv

import (
	"context"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/pkg/errors"
)

// maxSilentWait bounds a call to a silent store if its context has no deadline.
const maxSilentWait = time.Minute

// call executes one call subject to the faults. It runs apply with the store's
// mutex held.
func (c *Client) call(ctx context.Context, op Op, key string, apply func(s *Store) error) error {
	delay, err := c.begin(ctx, op, key)
	if err != nil {
		return err
	}
	if err := sleep(ctx, op, delay/2); err != nil {
		return err
	}
	if op.writes() && c.delayWrite(apply) {
		return noAnswerError(op, "write is still under way")
	}
	c.store.mu.Lock()
	err = apply(c.store)
	c.store.mu.Unlock()
	if answerErr := c.finish(ctx, op, delay-delay/2); answerErr != nil {
		return answerErr
	}
	return err
}

// begin counts the call and applies the faults that prevent its execution. It
// returns the delay to add to the call.
func (c *Client) begin(ctx context.Context, op Op, key string) (time.Duration, error) {
	clientFaults, storeFaults := c.state(), c.storeFaults.state()
	s := c.store
	s.mu.Lock()
	s.counts.add(op, key)
	limited := !s.bucketFor(op).allow(time.Now())
	down := clientFaults.down || storeFaults.down
	silent := clientFaults.silent || storeFaults.silent
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
		return 0, waitWithoutAnswer(ctx, op)
	case limited:
		return 0, errors.Wrap(backing.ErrUnavailable, "rate limit")
	}
	delay := storeFaults.delay
	if clientFaults.delay > delay {
		delay = clientFaults.delay
	}
	return delay, nil
}

// finish applies the faults that lose the answer to an executed call.
func (c *Client) finish(ctx context.Context, op Op, delay time.Duration) error {
	if err := sleep(ctx, op, delay); err != nil {
		return err
	}
	clientFaults, storeFaults := c.state(), c.storeFaults.state()
	if clientFaults.down || storeFaults.down {
		return noAnswerError(op, "store went down")
	}
	if clientFaults.silent || storeFaults.silent {
		return waitWithoutAnswer(ctx, op)
	}
	if !op.writes() {
		return nil
	}
	lost := c.takeAnswerLoss()
	if !lost && c.Faults != c.storeFaults {
		lost = c.storeFaults.takeAnswerLoss()
	}
	if !lost {
		return nil
	}
	c.store.mu.Lock()
	c.store.counts.Lost++
	c.store.mu.Unlock()
	return noAnswerError(op, "answer lost")
}

// bucketFor returns the rate limiter of the operation.
func (s *Store) bucketFor(op Op) *tokenBucket {
	if op.writes() {
		return &s.writes
	}
	return &s.reads
}

// noAnswerError returns the error of a call without an answer: ErrUnavailable
// for a read, which has no effect, and ErrUnknown for a write, which may have
// taken effect.
func noAnswerError(op Op, text string) error {
	if op.writes() {
		return errors.Wrap(backing.ErrUnknown, text)
	}
	return errors.Wrap(backing.ErrUnavailable, text)
}

// waitWithoutAnswer blocks until ctx ends, for at most maxSilentWait, and
// returns the error of a call without an answer.
func waitWithoutAnswer(ctx context.Context, op Op) error {
	if err := sleep(ctx, op, maxSilentWait); err != nil {
		return err
	}
	return noAnswerError(op, "no answer")
}

// sleep waits for d. It returns noAnswerError if ctx ends first.
func sleep(ctx context.Context, op Op, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return noAnswerError(op, ctx.Err().Error())
	}
}
