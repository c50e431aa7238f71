package fault

import (
	"bytes"
	"io"
	"net/http"
)

// discardWriter is an http.ResponseWriter that drops the response.
type discardWriter struct {
	header http.Header
}

func newDiscardWriter() *discardWriter { return &discardWriter{header: make(http.Header)} }

// Header implements http.ResponseWriter.
func (w *discardWriter) Header() http.Header { return w.header }

// Write implements http.ResponseWriter.
func (w *discardWriter) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader implements http.ResponseWriter.
func (w *discardWriter) WriteHeader(int) {}

func bodyReader(body []byte) io.ReadCloser { return io.NopCloser(bytes.NewReader(body)) }
