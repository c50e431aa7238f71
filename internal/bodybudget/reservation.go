package bodybudget

import (
	"io"
	"sync"
)

// grainBytes is what a reservation takes beyond its need and keeps of what it no longer
// needs, so that many short pieces do not all take the lock of the budget.
const grainBytes = 4 << 10

// Reservation is what one answer of a sender holds of a budget. A nil *Reservation has no
// limit. It is safe for concurrent use.
type Reservation struct {
	shares *Shares
	sender string

	mu sync.Mutex // guards the fields below
	// reserved is what the budget has reserved, used what of it is in use.
	reserved, used int64
	released       bool
}

// NewReservation returns an empty reservation of the sender. Release must be called once
// the answer is no longer in use. A nil *Shares has no limit.
func (s *Shares) NewReservation(sender string) *Reservation {
	if s == nil {
		return nil
	}
	return &Reservation{shares: s, sender: sender}
}

// Grow reserves n more bytes. It returns ErrExhausted and reserves nothing if the sender's
// share is exhausted. A released reservation stays empty.
func (r *Reservation) Grow(n int) error {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.released {
		return nil
	}
	lacking := r.used + int64(n) - r.reserved
	switch {
	case lacking <= 0:
	case r.shares.Reserve(r.sender, lacking+grainBytes):
		r.reserved += lacking + grainBytes
	case r.shares.Reserve(r.sender, lacking):
		r.reserved += lacking
	default:
		return ErrExhausted
	}
	r.used += int64(n)
	return nil
}

// Shrink returns n of the reserved bytes to the budget, some of them only with Release.
func (r *Reservation) Shrink(n int) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.used -= min(int64(n), r.used)
	if spare := r.reserved - r.used; spare > 2*grainBytes {
		r.reserved -= spare - grainBytes
		r.shares.Release(r.sender, spare-grainBytes)
	}
}

// Release returns all reserved bytes to the budget.
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.released = true
	if r.reserved > 0 {
		r.shares.Release(r.sender, r.reserved)
		r.reserved, r.used = 0, 0
	}
}

// NewReader returns a reader of the body that reserves what it reads. It returns
// ErrExhausted if the sender's share is exhausted.
func (r *Reservation) NewReader(body io.Reader) io.Reader { return reservingReader{body, r} }

// ReadAll reads at most limit bytes of a body, as io.ReadAll. It returns ErrExhausted if
// the sender's share is exhausted.
func (r *Reservation) ReadAll(body io.Reader, limit int64) ([]byte, error) {
	return io.ReadAll(r.NewReader(io.LimitReader(body, limit)))
}

type reservingReader struct {
	io.Reader
	reservation *Reservation
}

// Read implements io.Reader.
func (r reservingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		if exhausted := r.reservation.Grow(n); exhausted != nil {
			return 0, exhausted
		}
	}
	return n, err
}
