package framing

import "io"

// confirmedBody is a body that ends with its connection.
type confirmedBody struct {
	io.ReadCloser
	// broken reports at the end of the connection that the body is not whole, and reason why.
	broken func() bool
	reason error
	err    error
}

// ConfirmSender returns a body whose Read returns ErrSenderEnded in place of io.EOF if the
// body ends with its connection and ended reports that the sender's process has ended. The
// connections of a process that is killed close like those of one that has answered.
func ConfirmSender(body io.ReadCloser, f Framing, ended func() bool) io.ReadCloser {
	return confirm(body, f, ended, ErrSenderEnded)
}

// ConfirmRequest returns a body whose Read returns ErrRequestCut in place of io.EOF if the body
// ends with its connection and cut reports that the request was not written whole. The write of
// a request that is still under way takes the error of a reset connection, and the body then
// ends as if the connection had been closed.
func ConfirmRequest(body io.ReadCloser, f Framing, cut func() bool) io.ReadCloser {
	return confirm(body, f, cut, ErrRequestCut)
}

func confirm(body io.ReadCloser, f Framing, broken func() bool, reason error) io.ReadCloser {
	if f != Connection {
		return body
	}
	return &confirmedBody{ReadCloser: body, broken: broken, reason: reason}
}

// Read implements io.Reader.
func (b *confirmedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && b.broken() { //nolint:errorlint // io.Reader returns it bare
		err = b.reason
	}
	b.err = err
	return n, err
}
