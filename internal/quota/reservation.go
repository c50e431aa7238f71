package quota

// Reservation is the tokens of one admitted request.
type Reservation struct {
	limiter   *Limiter
	workspace string
	tokens    int64
	// holds and settled are guarded by the limiter's lock.
	holds   [partCount]*hold
	settled bool
}

// Tokens is the size of the reservation.
func (r *Reservation) Tokens() int64 { return r.tokens }

// Settle ends the reservation with the tokens that were really used; what it
// did not use goes back. More than the reservation counts as all of it, and a
// second settlement has no effect.
func (r *Reservation) Settle(used int64) {
	r.limiter.mu.Lock()
	defer r.limiter.mu.Unlock()
	r.limiter.holder.Settle(r, used)
}
