package backing

import (
	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/bodybudget"
)

// ErrTooLong means that an answer is longer than an answer of its kind may be.
var ErrTooLong = errors.New("the answer is too long")

// Held is the part of the budget of answers that an answer holds until Release. The zero
// value holds none.
type Held struct {
	reservation *bodybudget.Reservation
}

// Release returns the answer's bytes to the budget. The answer must not be used any more.
func (h Held) Release() { h.reservation.Release() }

// KVCache is an exported KV cache.
type KVCache struct {
	Held
	Value []byte
}

// Option configures the client of a platform service.
type Option func(*Caller)

// WithAnswers bounds the bytes of the answers that the client holds by the sender's part of
// the shares.
func WithAnswers(shares *bodybudget.Shares, sender string) Option {
	return func(c *Caller) { c.answers, c.sender = shares, sender }
}

// WithMaxAnswer sets the maximum size of one answer's body, in bytes.
func WithMaxAnswer(bytes int64) Option {
	return func(c *Caller) { c.maxBytes = bytes }
}
