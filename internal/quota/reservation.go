package quota

import "context"

// Reservation is the tokens reserved for one request.
type Reservation struct {
	limiter   *Limiter
	workspace string
	limit     Limit
	tokens    int64
	// The fields below are guarded by limiter.mu.
	allocations [partCount]*allocation
	started     bool
	settled     bool
}

// Tokens returns the size of the reservation.
func (r *Reservation) Tokens() int64 { return r.tokens }

// Start counts the tokens as consumed. Call it when the request is about to be
// sent to an endpoint. Until then the tokens count as still in the bucket, so
// that the bucket does not refill on top of them while the request waits in a
// queue. If the tokens expired during the wait, Start reserves new ones; if that
// fails, it returns a *verdict.Error with the verdict NotRun. Without a call to
// Start the tokens count as in the bucket until Settle.
func (r *Reservation) Start(ctx context.Context) error {
	if r.start() {
		return nil
	}
	replacement, err := r.limiter.Reserve(ctx, r.workspace, r.limit.Rate, r.limit.Burst, r.tokens)
	if err != nil {
		return err
	}
	r.limiter.mu.Lock()
	r.limiter.holder.release(r)
	r.allocations = replacement.allocations
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

// Settle ends the reservation with the number of tokens that were used and
// returns the rest. A number above the reservation's size counts as all of it,
// and a second call has no effect.
func (r *Reservation) Settle(used int64) {
	r.limiter.mu.Lock()
	defer r.limiter.mu.Unlock()
	r.limiter.holder.Settle(r, used)
}
