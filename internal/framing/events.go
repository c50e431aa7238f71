package framing

import (
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// ErrEventTooLong reports an event that exceeds the limit of Events.
var ErrEventTooLong = errors.New("event exceeds the maximum size")

const (
	// eventBufferBytes is the initial size of the buffer of Events.
	eventBufferBytes = 4 << 10
	// maxIDLineBytes bounds the line of an event's ID. A longer one sets none.
	maxIDLineBytes = 256
)

// Events splits a stream of server-sent events into complete ones and the rest. Lines
// end with LF, CRLF or CR. It is not safe for concurrent use.
type Events struct {
	maxBytes int
	// reserve reserves memory of the buffer before it grows.
	reserve func(bytes int) error
	// buf holds the bytes that have not been taken; the first complete bytes of it
	// are complete events.
	buf      []byte
	complete int
	count    int
	// filler is the size of the comments and empty lines since the last event.
	filler int

	// line holds the start of the current line, lineBytes its length.
	line      []byte
	lineBytes int
	// pending is the ID set by the current event, hasPending whether it sets one.
	pending    string
	hasPending bool
	hasField   bool
	lastID     string
	hasID      bool
	// afterCR is set behind a CR. It ends a line by itself once bareCR is set, and
	// otherwise only if no LF follows.
	afterCR, bareCR bool
}

// NewEvents returns a splitter for events of at most maxBytes bytes. reserve is called
// with the bytes by which the buffer is to grow, and may refuse that with an error; nil for
// no limit.
func NewEvents(maxBytes int, reserve func(bytes int) error) *Events {
	if reserve == nil {
		reserve = func(int) error { return nil }
	}
	return &Events{maxBytes: maxBytes, reserve: reserve}
}

// Fill reads from r once. The error is r's, ErrEventTooLong or that of the reservation.
// Comments and empty lines count as one event with what follows them.
func (e *Events) Fill(r io.Reader) (int, error) {
	if e.filler > e.maxBytes {
		return 0, ErrEventTooLong
	}
	if len(e.buf) == cap(e.buf) {
		if len(e.buf) >= e.maxBytes {
			return 0, ErrEventTooLong
		}
		size := max(eventBufferBytes, min(2*cap(e.buf), e.maxBytes))
		if err := e.reserve(size - cap(e.buf)); err != nil {
			return 0, err
		}
		e.buf = append(make([]byte, 0, size), e.buf...)
	}
	start := len(e.buf)
	n, err := r.Read(e.buf[start:cap(e.buf)])
	e.buf = e.buf[:start+n]
	for i, c := range e.buf[start:] {
		e.scan(start+i, c)
	}
	return n, err
}

// scan advances over the byte c at position at of buf.
func (e *Events) scan(at int, c byte) {
	if e.afterCR {
		e.afterCR = false
		switch {
		case c == '\n' && e.bareCR: // the line has ended with the CR
			if e.complete == at {
				e.complete++
			}
			return
		case c == '\n':
			e.endLine(at + 1)
			return
		case !e.bareCR:
			e.bareCR = true
			e.endLine(at)
		}
	}
	switch c {
	case '\n':
		e.endLine(at + 1)
	case '\r':
		e.afterCR = true
		if e.bareCR {
			e.endLine(at + 1)
		}
	default:
		e.lineBytes++
		if len(e.line) < maxIDLineBytes {
			e.line = append(e.line, c)
		}
	}
}

// endLine ends the current line; the next one starts at position next of buf.
func (e *Events) endLine(next int) {
	if e.lineBytes == 0 {
		e.endEvent(next)
		return
	}
	if e.line[0] != ':' {
		e.hasField = true
		name, value, _ := bytes.Cut(e.line, []byte(":"))
		if string(name) == "id" && e.lineBytes <= maxIDLineBytes {
			e.pending, e.hasPending = string(bytes.TrimPrefix(value, []byte(" "))), true
		}
	}
	e.line, e.lineBytes = e.line[:0], 0
}

// endEvent ends the current event with an empty line.
func (e *Events) endEvent(next int) {
	e.filler += next - e.complete
	e.complete = next
	if e.hasField {
		e.count++
		e.filler = 0
	}
	if e.hasPending {
		e.lastID, e.hasID = e.pending, true
	}
	e.hasField, e.hasPending = false, false
}

// Complete returns the complete events that have not been taken. It is valid until the
// next call of Fill or Take.
func (e *Events) Complete() []byte { return e.buf[:e.complete] }

// Take removes the complete events.
func (e *Events) Take() {
	e.buf = e.buf[:copy(e.buf, e.buf[e.complete:])]
	e.complete = 0
}

// Incomplete returns the number of bytes behind the last complete event.
func (e *Events) Incomplete() int { return len(e.buf) - e.complete }

// Count returns the number of complete events. Comments are not counted.
func (e *Events) Count() int { return e.count }

// LastID returns the ID of the last complete event that has one, or false if none has.
func (e *Events) LastID() (string, bool) { return e.lastID, e.hasID }
