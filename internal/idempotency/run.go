package idempotency

import (
	"context"
	"time"

	"github.com/acacialink/acacialink/internal/verdict"
)

// maxClaimTries bounds how often a repeat tries to claim the key after the first
// request on the same host was refused before it was sent.
const maxClaimTries = 3

// Run claims the key and calls send at most once. For a repeat of the key it
// returns the recorded response of the first request, with replayed true. The error
// is a *verdict.Error. Its verdict is NotRun only if send was not called or itself
// returned NotRun.
//
// Without an idempotency key nothing is claimed, since no caller could refer to the
// claim. Run then calls send once with a new ClaimID, even if the store is
// unavailable.
func (c *Claims) Run(ctx context.Context, key Key, body BodyHash, send Send) (r Response, replayed bool, err error) {
	if key.IdempotencyKey == "" {
		return c.runUnclaimed(ctx, send)
	}
	h := key.hash()
	s := c.shards[h.shard(len(c.shards))]
	var lastErr error = errStoreUnavailable(nil)
	for range maxClaimTries {
		inProgress, first := s.beginCall(h, body)
		if inProgress == nil {
			return Response{}, false, errTooManyClaims()
		}
		if first {
			a := &attempt{claims: c, shard: s, call: inProgress, key: h, body: body, start: time.Now()}
			return a.run(ctx, send)
		}
		if inProgress.body != body {
			return Response{}, false, errKeyReused()
		}
		if err := c.await(ctx, inProgress); err != nil {
			c.stats.Repeats.Add(1)
			return Response{}, false, err
		}
		if !inProgress.retry {
			return inProgress.response, inProgress.err == nil, inProgress.err
		}
		lastErr = inProgress.err
	}
	return Response{}, false, lastErr
}

func (c *Claims) runUnclaimed(ctx context.Context, send Send) (Response, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.RequestTimeout)
	defer cancel()
	r, err := send(withClaimID(ctx, c.claimIDs.next()))
	if err != nil {
		return Response{}, false, verdict.As(err)
	}
	return r, false, nil
}

// await waits for the first request with the key on this host.
func (c *Claims) await(ctx context.Context, first *call) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.RepeatTimeout)
	defer cancel()
	select {
	case <-first.done:
		return nil
	case <-ctx.Done():
		return errMayHaveRun()
	}
}
