package gateway

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/termination"
)

// Guards against requests whose end leaves no line and is not counted.
func TestEachRequestIsAccountedFor(t *testing.T) {
	for _, c := range []struct {
		name, path string
		send       func(f *fixture) (*Reply, error)
		want       Account
		log        string
	}{
		{"served", "/once/x", func(*fixture) (*Reply, error) { return newReply(http.StatusOK, "ok"), nil }, Account{Begun: 1, Ended: 1}, `"code":"served"`},
		{"failed", "/once/x", func(*fixture) (*Reply, error) { return nil, errEndpointLost }, Account{Begun: 1, Ended: 1}, `"end_reason":"not_repeatable"`},
		{"cut off", "/stream/x", func(*fixture) (*Reply, error) { return truncatedReply("id: 1\ndata: a\n\n"), nil }, Account{Begun: 1, Ended: 1, CutOff: 1}, `"after_event":"1"`},
		{"cut off by a stop", "/resume/x", func(f *fixture) (*Reply, error) {
			f.termination.Begin(termination.NewPlan(time.Now().Add(-7*time.Second), 8*time.Second))
			return truncatedReply("id: 1\ndata: a\n\n"), nil
		}, Account{Begun: 1, Ended: 1, CutOff: 1}, `"end_reason":"host_ending late"`},
		{"panicked", "/once/x", func(*fixture) (*Reply, error) { panic("x") }, Account{Begun: 1, Panicked: 1}, `"msg":"handler panicked","request_id":"7","panic":"x","stack":"goroutine`},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t).configure()
			var log bytes.Buffer
			f.gateway.opts.Log = slog.New(slog.NewJSONHandler(&log, nil))
			f.send = func(int, context.Context, *Dispatch) (*Reply, error) { return c.send(f) }
			f.serve(c.path, "Prompt", "50")
			is.Equal(f.gateway.Account(), c.want)
			is.True(strings.Contains(log.String(), c.log))
		})
	}
}
