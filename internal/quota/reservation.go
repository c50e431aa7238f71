package quota

import "context"

// Reservation is the tokens of one request.
type Reservation struct {
	limiter   *Limiter
	workspace string
	limit     Limit
	tokens    int64
	// The fields below are guarded by the limiter's lock.
	holds   [partCount]*hold
	started bool
	settled bool
}

// Tokens is the size of the reservation.
func (r *Reservation) Tokens() int64 { return r.tokens }

// Start says that the request is about to be sent to an endpoint, which is
// when its tokens count as consumed. Until then they count as still in the
// bucket, so that a wait in a queue does not let the bucket fill on top of
// them. When the tokens were lost while the request waited, Start reserves
// anew and refuses, with the verdict NotRun, if that fails. Without a Start
// the tokens count as in the bucket until Settle.
func (r *Reservation) Start(ctx context.Context) error {
	if r.start() {
		return nil
	}
	again, err := r.limiter.Reserve(ctx, r.workspace, r.limit.Rate, r.limit.Burst, r.tokens)
	if err != nil {
		return err
	}
	r.limiter.mu.Lock()
	r.limiter.holder.drop(r)
	r.holds = again.holds
	r.limiter.mu.Unlock()
	if !r.start() {
		return errOverRate(r.limit, r.tokens)
	}
	return nil
}

func (r *Reservation) start() bool {
	r.limiter.mu.Lock()
	defer r.limiter.mu.Unlock()
	return r.limiter.holder.Start(r.limiter.now(), r)
}

// Settle ends the reservation with the tokens that were really used; what it
// did not use goes back. More than the reservation counts as all of it, and a
// second settlement has no effect.
func (r *Reservation) Settle(used int64) {
	r.limiter.mu.Lock()
	defer r.limiter.mu.Unlock()
	r.limiter.holder.Settle(r, used)
}
