package once

import (
	"context"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/verdict"
)

const (
	// pollFirst and pollLast are the pauses between looks at a claim that
	// another host holds.
	pollFirst = 50 * time.Millisecond
	pollLast  = time.Second
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
		r, err := a.answer(ctx, found)
		a.release(r, err, verdict.Of(err) == verdict.NotRun)
		return r, err == nil, err
	}
	r, err := a.send(ctx, claim, send)
	return r, false, err
}

// claim writes the claim, or returns the record that holds the key. While
// another request holds it without an outcome, claim looks again.
func (a *attempt) claim(ctx context.Context) (entry, *record, error) {
	limit, cancel := context.WithTimeout(ctx, a.claims.options.RepeatWait)
	defer cancel()
	line := entry{Key: a.key, Mark: a.claims.marks.next(), State: stateClaimed, Body: a.body, At: time.Now().Unix()}
	pause := pollFirst
	for turn := 0; ; turn++ {
		found, err := a.propose(ctx, line, turn > 0)
		if err != nil || found == nil {
			return line, nil, err
		}
		if found.state != stateClaimed || found.body != a.body {
			return line, found, nil
		}
		if turn > 0 && (a.holderGone(found) || !backing.Pause(limit, pause)) {
			return line, found, nil
		}
		pause = min(2*pause, pollLast)
	}
}

// propose asks the shard to write the claim. A caller that stops waiting has
// the claim abandoned if it is written later.
func (a *attempt) propose(ctx context.Context, line entry, fresh bool) (*record, error) {
	o := &op{entry: line, fresh: fresh, result: make(chan opResult, 1)}
	if !a.shard.submit(o) {
		return nil, errFull()
	}
	select {
	case r := <-o.result:
		return r.found, r.err
	case <-ctx.Done():
	}
	if o.forsake() {
		return nil, errStoreDown(ctx.Err())
	}
	r := <-o.result
	return r.found, r.err
}

// holderGone reports whether the request under the claim must be over.
func (a *attempt) holderGone(found *record) bool {
	age := time.Duration(time.Now().Unix()-found.at) * time.Second
	return age > 2*a.claims.options.SendLimit
}

// answer gives a repeat what is recorded for the key.
func (a *attempt) answer(ctx context.Context, found *record) (Response, error) {
	stats := a.claims.stats
	if found.body != a.body {
		return Response{}, errOtherBody()
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

// send calls send under the claim and records its outcome. A panic of send
// leaves the outcome unknown.
func (a *attempt) send(ctx context.Context, claim entry, send Send) (r Response, err error) {
	left := a.claims.options.SendLimit - time.Since(a.start)
	if left <= 0 || ctx.Err() != nil {
		err := errTooLate()
		a.shard.abandon(claim)
		a.release(Response{}, err, true)
		return Response{}, err
	}
	err = errMayHaveRun()
	defer func() { a.conclude(claim, r, err) }()
	sendCtx, cancel := context.WithTimeout(withClaimID(ctx, claim.Mark), left)
	defer cancel()
	sent, failure := send(sendCtx)
	if failure != nil {
		return Response{}, verdict.As(failure)
	}
	return sent, nil
}

// conclude publishes the outcome on this host at once and queues its record.
func (a *attempt) conclude(claim entry, r Response, err error) {
	notRun := err != nil && verdict.Of(err) == verdict.NotRun
	if notRun || err != nil && a.claims.broken.freeUnknown {
		a.shard.abandon(claim)
		a.release(r, err, true)
		return
	}
	a.call.finish(r, err, false)
	claim.State = stateUnknown
	if err == nil {
		claim.State = stateDone
		claim.Response = a.kept(r)
	}
	a.shard.record(&op{entry: claim, recorded: func() { a.shard.leave(a.key, a.call) }})
}

// kept returns the answer as it is recorded, nil when it is too large.
func (a *attempt) kept(r Response) *Response {
	if responseBytes(&r) > a.claims.options.ResultBytes {
		return nil
	}
	return &r
}

// release publishes the outcome of a call that leaves nothing to record.
func (a *attempt) release(r Response, err error, retry bool) {
	a.shard.leave(a.key, a.call)
	a.call.finish(r, err, retry)
}
