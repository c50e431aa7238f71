package framing

import "io"

// senderBody is a body that ends with its connection.
type senderBody struct {
	io.ReadCloser
	ended func() bool
	err   error
}

// ConfirmSender returns a body whose Read returns ErrSenderEnded in place of io.EOF if the
// body ends with its connection and ended reports that the sender's process has ended. The
// connections of a process that is killed close like those of one that has answered.
func ConfirmSender(body io.ReadCloser, f Framing, ended func() bool) io.ReadCloser {
	if f != Connection {
		return body
	}
	return &senderBody{ReadCloser: body, ended: ended}
}

// Read implements io.Reader.
func (b *senderBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && b.ended() { //nolint:errorlint // io.Reader returns it bare
		err = ErrSenderEnded
	}
	b.err = err
	return n, err
}
