package idempotency

import (
	"context"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/verdict"
)

const (
	// minClaimPoll and maxClaimPoll bound the interval at which a claim of
	// another host is polled for its outcome.
	minClaimPoll = 50 * time.Millisecond
	maxClaimPoll = time.Second
)

// attempt is the first request with its key on this host.
type attempt struct {
	claims *Claims
	shard  *shard
	call   *call
	key    keyHash
	body   BodyHash
	start  time.Time
}

func (a *attempt) run(ctx context.Context, send Send) (Response, bool, error) {
	claim, found, err := a.claim(ctx)
	switch {
	case err != nil:
		a.claims.stats.Refusals.Add(1)
		a.release(Response{}, err, true)
		return Response{}, false, err
	case found != nil:
		r, err := a.answerRepeat(ctx, found)
		a.release(r, err, verdict.Of(err) == verdict.NotRun)
		return r, err == nil, err
	}
	r, err := a.send(ctx, claim, send)
	return r, false, err
}

// claim writes the claim and returns its entry, or returns the record that
// already claims the key. While the record belongs to another host's request
// without an outcome, claim polls it for at most Options.RepeatTimeout.
func (a *attempt) claim(ctx context.Context) (entry, *record, error) {
	waitCtx, cancel := context.WithTimeout(ctx, a.claims.options.RepeatTimeout)
	defer cancel()
	claim := entry{Key: a.key, ClaimID: a.claims.claimIDs.next(), State: stateClaimed, Body: a.body, At: time.Now().Unix()}
	pause := minClaimPoll
	for try := 0; ; try++ {
		found, err := a.submitClaim(ctx, claim, try > 0)
		if err != nil || found == nil {
			return claim, nil, err
		}
		if found.state != stateClaimed || found.body != a.body {
			return claim, found, nil
		}
		if try > 0 && (a.requestEnded(found) || !backing.Pause(waitCtx, pause)) {
			return claim, found, nil
		}
		pause = min(2*pause, maxClaimPoll)
	}
}

// submitClaim queues the claim and waits for its result. If ctx is done first,
// a claim that is still written is abandoned.
func (a *attempt) submitClaim(ctx context.Context, claim entry, refresh bool) (*record, error) {
	o := &op{entry: claim, refresh: refresh, result: make(chan opResult, 1)}
	if !a.shard.enqueue(o) {
		return nil, errTooManyClaims()
	}
	select {
	case r := <-o.result:
		return r.existing, r.err
	case <-ctx.Done():
	}
	if o.cancel() {
		return nil, errStoreUnavailable(ctx.Err())
	}
	r := <-o.result
	return r.existing, r.err
}

// requestEnded reports whether the request under another host's claim must have
// ended.
func (a *attempt) requestEnded(found *record) bool {
	age := time.Duration(time.Now().Unix()-found.at) * time.Second
	return age > 2*a.claims.options.RequestTimeout
}

// answerRepeat returns the recorded outcome of the key to a repeat.
func (a *attempt) answerRepeat(ctx context.Context, found *record) (Response, error) {
	stats := a.claims.stats
	if found.body != a.body {
		return Response{}, errKeyReused()
	}
	if found.state != stateDone {
		stats.Repeats.Add(1)
		return Response{}, errMayHaveRun()
	}
	r, err := a.shard.result(ctx, a.key, found)
	if err == nil {
		stats.Replays.Add(1)
	}
	return r, err
}

// send calls send under the claim and records the outcome. If send panics, the
// outcome is unknown.
func (a *attempt) send(ctx context.Context, claim entry, send Send) (r Response, err error) {
	remaining := a.claims.options.RequestTimeout - time.Since(a.start)
	if remaining <= 0 || ctx.Err() != nil {
		err := errClaimTooLate()
		a.shard.abandon(claim)
		a.release(Response{}, err, true)
		return Response{}, err
	}
	err = errMayHaveRun()
	defer func() { a.recordOutcome(claim, r, err) }()
	sendCtx, cancel := context.WithTimeout(withClaimID(ctx, claim.ClaimID), remaining)
	defer cancel()
	response, failure := send(sendCtx)
	if failure != nil {
		return Response{}, verdict.As(failure)
	}
	return response, nil
}

// recordOutcome publishes the outcome to repeats on this host and queues it for
// the log.
func (a *attempt) recordOutcome(claim entry, r Response, err error) {
	notRun := err != nil && verdict.Of(err) == verdict.NotRun
	if notRun || err != nil && a.claims.faults.releaseUnknown {
		a.shard.abandon(claim)
		a.release(r, err, true)
		return
	}
	a.call.finish(r, err, false)
	claim.State = stateUnknown
	if err == nil {
		claim.State = stateDone
		claim.Response = a.storedResponse(r)
	}
	a.shard.enqueueOutcome(&op{entry: claim, onRecorded: func() { a.shard.endCall(a.key, a.call) }})
}

// storedResponse returns the response to store, or nil if it is too large.
func (a *attempt) storedResponse(r Response) *Response {
	if responseBytes(&r) > a.claims.options.MaxResponseBytes {
		return nil
	}
	return &r
}

// release ends a call without an outcome to record and publishes its result.
func (a *attempt) release(r Response, err error, retry bool) {
	a.shard.endCall(a.key, a.call)
	a.call.finish(r, err, retry)
}
