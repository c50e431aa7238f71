package gateway

import (
	"io"

	"github.com/acacialink/acacialink/internal/bodybudget"
)

const (
	// minBufferBytes is the initial size of a buffer, if its answer is not shorter.
	minBufferBytes = 4 << 10
	// copyBufferBytes is the size of the buffer by which the rest of an answer is copied.
	copyBufferBytes = 32 << 10
)

// buffer holds the beginning of an answer. Its memory is reserved before it is allocated.
type buffer struct {
	answer *bodybudget.Reservation
	bytes  []byte
	// initial is the initial size.
	initial int
}

// newBuffer returns a buffer for an answer of the given length; negative if unknown.
func newBuffer(answer *bodybudget.Reservation, length int64) *buffer {
	b := &buffer{answer: answer, initial: minBufferBytes}
	if length >= 0 && length < minBufferBytes {
		b.initial = int(length) + 1 // with room in which the end is read
	}
	return b
}

// fill reads from r until the buffer holds limit bytes. The error is io.EOF if r ended
// before, or else r's or bodybudget.ErrExhausted.
func (b *buffer) fill(r io.Reader, limit int) error {
	for len(b.bytes) < limit {
		if len(b.bytes) == cap(b.bytes) {
			size := max(b.initial, min(2*cap(b.bytes), limit))
			if err := b.answer.Grow(size - cap(b.bytes)); err != nil {
				return err
			}
			b.bytes = append(make([]byte, 0, size), b.bytes...)
		}
		n, err := r.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		if err != nil {
			return err
		}
	}
	return nil
}

// copyRest copies the rest of r to w through a part of the buffer, whose bytes are dropped.
func (b *buffer) copyRest(w io.Writer, r io.Reader) error {
	dropped := cap(b.bytes) - copyBufferBytes
	b.bytes = make([]byte, 0, copyBufferBytes)
	b.answer.Shrink(dropped)
	// The wrappers hide methods that would copy through buffers of their own.
	_, err := io.CopyBuffer(struct{ io.Writer }{w}, struct{ io.Reader }{r}, b.bytes[:copyBufferBytes])
	return err
}
