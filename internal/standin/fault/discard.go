package fault

import (
	"bytes"
	"io"
	"net/http"
)

// discard is a response writer whose answer goes nowhere.
type discard struct {
	header http.Header
}

func newDiscard() *discard { return &discard{header: make(http.Header)} }

// Header implements http.ResponseWriter.
func (d *discard) Header() http.Header { return d.header }

// Write implements http.ResponseWriter.
func (d *discard) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader implements http.ResponseWriter.
func (d *discard) WriteHeader(int) {}

func rewind(body []byte) io.ReadCloser { return io.NopCloser(bytes.NewReader(body)) }
