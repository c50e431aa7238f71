package once

import (
	"context"
	"time"

	"github.com/acacialink/acacialink/internal/verdict"
)

// maxTurns bounds how often a repeat on the same host takes over from one
// that was refused before it was sent.
const maxTurns = 3

// Run claims the key and calls send at most once, or answers a repeat of the
// key from the record of the first request; replayed is then true. The error
// is a *verdict.Error. Its verdict is NotRun only if send was not called, or
// said so itself.
//
// Without an idempotency key nothing is claimed: no caller could name the
// claim again. send is called once under a fresh ClaimID, also while the
// store is down.
func (c *Claims) Run(ctx context.Context, key Key, body BodyHash, send Send) (r Response, replayed bool, err error) {
	if key.IdempotencyKey == "" {
		return c.runUnclaimed(ctx, send)
	}
	h := key.hash()
	s := c.shards[h.shard(len(c.shards))]
	var last error = errStoreDown(nil)
	for range maxTurns {
		mine, first := s.enter(h, body)
		if mine == nil {
			return Response{}, false, errFull()
		}
		if first {
			a := &attempt{claims: c, shard: s, call: mine, key: h, body: body, start: time.Now()}
			return a.run(ctx, send)
		}
		if mine.body != body {
			return Response{}, false, errOtherBody()
		}
		if err := c.await(ctx, mine); err != nil {
			c.stats.Repeats.Add(1)
			return Response{}, false, err
		}
		if !mine.retry {
			return mine.response, mine.err == nil, mine.err
		}
		last = mine.err
	}
	return Response{}, false, last
}

func (c *Claims) runUnclaimed(ctx context.Context, send Send) (Response, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.SendLimit)
	defer cancel()
	r, err := send(withClaimID(ctx, c.marks.next()))
	if err != nil {
		return Response{}, false, verdict.As(err)
	}
	return r, false, nil
}

// await waits for the first request with the key on this host.
func (c *Claims) await(ctx context.Context, first *call) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.RepeatWait)
	defer cancel()
	select {
	case <-first.done:
		return nil
	case <-ctx.Done():
		return errMayHaveRun()
	}
}
