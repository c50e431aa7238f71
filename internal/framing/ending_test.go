package framing

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestResponseToHeadRequestIsWhole(t *testing.T) {
	is := is.New(t)
	text := "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
	r, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), &http.Request{Method: http.MethodHead})
	is.NoErr(err)
	_, err = io.ReadAll(NewBody(r, nil))
	is.NoErr(err)
}

func TestBodyIsWholeOnlyAsItsFramingSays(t *testing.T) {
	for text, want := range map[string]error{
		"Content-Length: 3\r\n\r\nabc":                             nil,
		"Content-Length: 3\r\n\r\nab":                              io.ErrUnexpectedEOF,
		"Content-Length: 0\r\n\r\n":                                nil,
		"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n":  nil,
		"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n":              nil,
		"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n":           io.ErrUnexpectedEOF,
		"Connection: close\r\n\r\nabc":                             nil,
		"Connection: close\r\n\r\n":                                ErrEmpty,
		"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3": io.ErrUnexpectedEOF,
	} {
		is := is.New(t)
		r, err := http.ReadResponse(bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\n"+text)), nil)
		is.NoErr(err)
		_, err = io.ReadAll(NewBody(r, nil))
		is.Equal(err, want)
	}
}
