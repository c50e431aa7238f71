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
		{"panicked", "/once/x", func(*fixture) (*Reply, error) { panic("x") }, Account{Begun: 1, Ended: 1, Panicked: 1}, `"msg":"handler panicked","request_id":"7","panic":"x","stack":"goroutine`},
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

// Guards against a closed connection in place of an answer where a handler panics.
func TestPanickedRequestIsAnswered(t *testing.T) {
	for _, c := range []struct {
		name    string
		prepare func(f *fixture)
		status  int
	}{
		{"before it is sent", func(f *fixture) { f.quota.refusals, f.quota.refused = 1, func() { panic("x") } }, http.StatusServiceUnavailable},
		{"once it was sent", func(f *fixture) {
			f.send = func(int, context.Context, *Dispatch) (*Reply, error) { panic("x") }
		}, http.StatusBadGateway},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t).configure()
			c.prepare(f)
			w := f.serve("/once/x")
			is.Equal(w.Code, c.status)
			is.Equal(w.Header().Get("Retry-After") != "", c.status == http.StatusServiceUnavailable)
			is.Equal(f.gateway.Account(), Account{Begun: 1, Ended: 1, Panicked: 1})
		})
	}
}

// panickingBody panics at its second read.
type panickingBody struct{ reads int }

func (b *panickingBody) Read(p []byte) (int, error) {
	if b.reads++; b.reads > 1 {
		panic("x")
	}
	return copy(p, "id: 1\ndata: a\n\n"), nil
}

func (*panickingBody) Close() error { return nil }

// Guards against a stream that looks complete where a handler panics in its middle.
func TestPanickedStreamBreaksOff(t *testing.T) {
	is := is.New(t)
	f := newFixture(t).configure()
	f.send = func(int, context.Context, *Dispatch) (*Reply, error) {
		reply := newReply(http.StatusOK, "")
		reply.Body = &panickingBody{}
		return reply, nil
	}
	aborted := false
	f.aborted = func() { aborted = true }
	f.serve("/stream/x", "Prompt", "50")
	is.True(aborted)
	is.Equal(f.gateway.Account(), Account{Begun: 1, Ended: 1, CutOff: 1, Panicked: 1})
}
