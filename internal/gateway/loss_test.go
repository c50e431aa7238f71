package gateway

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/placement"
)

// segmentIngress adds the segments of the header Segments to calls of testIngress.
type segmentIngress struct{ testIngress }

func (segmentIngress) ParseCall(r *http.Request) (*Call, error) {
	call, err := testIngress{}.ParseCall(r)
	for text := range strings.FieldsSeq(r.Header.Get("Segments")) {
		hash, parseErr := strconv.ParseUint(text, 16, 64)
		if parseErr != nil {
			return nil, parseErr
		}
		call.Segments = append(call.Segments, placement.Segment{Hash: hash, Tokens: 10})
	}
	return call, err
}

func TestLogTellsWhatLostEngineHad(t *testing.T) {
	is := is.New(t)
	f := newFixture(t).configure()
	var log bytes.Buffer
	f.gateway.opts.Log, f.gateway.opts.Ingress = slog.New(slog.NewTextHandler(&log, nil)), segmentIngress{}
	f.send = func(int, context.Context, *Dispatch) (*Reply, error) {
		return truncatedReply("id: 1\ndata: a\n\n"), nil
	}
	f.serve("/stream/x", "Prompt", "50", "Segments", "5c1e07a2 91bd3f06 e4402b7d")
	is.True(strings.Contains(log.String(), `msg="engine lost under a request"`))
	is.True(strings.Contains(log.String(), `segments="[5c1e07a2 91bd3f06]"`)) // not the request's own
	is.True(strings.Contains(log.String(), "begun_ms="))
}
