package framing

import (
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// Errors of a body that ended as its framing allows and yet is not whole.
var (
	// ErrEmpty reports an answer that ended before it began.
	ErrEmpty = errors.New("the answer is empty")
	// ErrInsideEvent reports a stream that ended inside an event.
	ErrInsideEvent = errors.New("the stream ended inside an event")
	// ErrRequestCut reports a connection that ended before the request was written whole.
	ErrRequestCut = errors.New("the connection ended before the request was written")
	// ErrSenderEnded reports a connection that closed because its sender's process ended.
	ErrSenderEnded = errors.New("the sender ended under its answer")
)

// Ending is how the reading of a body ended.
type Ending struct {
	Framing Framing
	// Err is the reader's error: io.EOF if the body ended as its framing allows.
	Err error
	// Bytes is the number of bytes of the body.
	Bytes int64
	// Unannounced reports that the connection is encrypted and was closed by whoever
	// carries it, not by the peer (TLS close_notify).
	Unannounced bool
}

// Body returns nil if the body is whole. A connection that closes before the first
// byte of a body that it frames has carried no answer.
func (e Ending) Body() error {
	switch {
	case e.Err != io.EOF: //nolint:errorlint // io.Reader returns it bare
		return e.Err
	case e.Framing == Connection && e.Bytes == 0:
		return ErrEmpty
	case e.Framing == Connection && e.Unannounced:
		return io.ErrUnexpectedEOF
	default:
		return nil
	}
}

// Stream returns nil if the body is a whole stream of server-sent events. The end of a
// connection tells a whole stream from one that was cut off only by the events before
// it; a stream that resumes another may have no events left.
func (e Ending) Stream(events *Events, resumed bool) error {
	if err := e.Body(); err != nil {
		return err
	}
	switch {
	case events.Incomplete() > 0:
		return ErrInsideEvent
	case events.Count() == 0 && !resumed:
		return ErrEmpty
	default:
		return nil
	}
}

// body reads a response's body and returns io.EOF only if it is whole as one body.
type body struct {
	io.ReadCloser
	framing     Framing
	bytes       int64
	unannounced func() bool
}

// NewBody returns the body of a response that net/http has read. Its Read returns
// io.EOF only if the body is whole. unannounced returns Ending.Unannounced at the end
// of the body; nil for connections that are not encrypted.
func NewBody(r *http.Response, unannounced func() bool) io.ReadCloser {
	return &body{ReadCloser: r.Body, framing: Of(r), unannounced: unannounced}
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.bytes += int64(n)
	if err == nil {
		return n, nil
	}
	ending := Ending{Framing: b.framing, Err: err, Bytes: b.bytes, Unannounced: b.unannounced != nil && b.unannounced()}
	if broken := ending.Body(); broken != nil {
		return n, broken
	}
	return n, io.EOF
}
