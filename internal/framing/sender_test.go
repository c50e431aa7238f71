package framing

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

func TestEndOfConnectionCountsWhileSenderRuns(t *testing.T) {
	reset := errors.New("reset")
	for _, c := range []struct {
		framing Framing
		ended   bool
		err     error
		want    error
	}{
		{Connection, false, io.EOF, nil},
		{Connection, true, io.EOF, ErrSenderEnded},
		{Connection, true, reset, reset},
		{Length, true, io.EOF, nil},
		{Chunked, true, io.EOF, nil},
	} {
		is := is.New(t)
		asked := 0
		source := io.MultiReader(strings.NewReader("abc"), iotest.ErrReader(c.err))
		body := ConfirmSender(io.NopCloser(source), c.framing, func() bool { asked++; return c.ended })
		text, err := io.ReadAll(body)
		is.Equal(string(text), "abc")
		is.Equal(err, c.want)
		_, err = body.Read(make([]byte, 1))
		is.True(err != nil) // the end stays
		is.True(asked <= 1)
	}
}
