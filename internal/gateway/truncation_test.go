package gateway

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/framing"
)

func TestLogTellsHowStreamEnded(t *testing.T) {
	is := is.New(t)
	f := newFixture(t).configure()
	var log bytes.Buffer
	f.gateway.opts.Log = slog.New(slog.NewTextHandler(&log, nil))
	f.send = func(int, context.Context, *Dispatch) (*Reply, error) {
		r := newReply(http.StatusOK, "")
		r.Framing, r.Body = framing.Connection, io.NopCloser(strings.NewReader(sampleEvents+"id: 3\nda"))
		return r, nil
	}
	f.serve("/stream/x", "Prompt", "5000")
	is.True(strings.Contains(log.String(), "answer_framing=connection incomplete_event_bytes=8"))
}
