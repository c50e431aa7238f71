package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/endpoint"
	"github.com/acacialink/acacialink/internal/framing"
)

// Guards against parts of answers that are delivered as whole when their endpoint is killed.
func TestAnswerCutByEndOfItsEndpointIsNotDeliveredAsComplete(t *testing.T) {
	stream := strings.Join(eventStreams["LF"], "")
	for path, text := range map[string]string{"/stream/x": stream, "/once/x": "receipt", "/read/x": "receipt", "/once/y": strings.Repeat("r", responseBufferBytes+1)} {
		t.Run(path, func(t *testing.T) {
			f := newFixture(t).configure()
			f.quota.unlimited, f.probe = true, ErrEndpointDown
			e := startCuttingEndpoint(t, f)
			server := httptest.NewServer(f.gateway)
			defer server.Close()
			for _, protocol := range []string{"HTTP/1.0", "HTTP/1.1"} {
				for n := range min(len(text), 100) + 1 {
					a := cutAnswer{framing: framing.Connection, body: text, bytes: len(text) - n}
					e.answer = func(int64, string) cutAnswer { return a }
					status, body, complete := receive(t, server, path, protocol)
					if complete && status == http.StatusOK {
						t.Errorf("%s: complete with %d of %d bytes, though the endpoint has ended", protocol, len(body), len(text))
					}
				}
			}
		})
	}
}

func TestStreamCutByEndOfItsEndpointIsResumedWithEachEventOnce(t *testing.T) {
	is := is.New(t)
	f := newFixture(t).configure()
	f.probe = ErrEndpointDown
	f.gateway.opts.Ingress = segmentIngress{}
	f.gateway.opts.Suspects.Answered(time.Now(), endpoint.Key{ID: "other"}, "engine", []uint64{0xa}, time.Now().Add(-time.Second))
	f.send = func(n int, _ context.Context, _ *Dispatch) (*Reply, error) {
		if n > 1 {
			return newReply(http.StatusOK, "id: 2\ndata: b\n\n"), nil
		}
		r := newReply(http.StatusOK, "id: 1\ndata: a\n\n")
		r.Framing = framing.Connection
		return r, nil
	}
	f.aborted = func() { t.Error("cut") }
	is.Equal(f.serve("/resume/x", "Prompt", "50", "Segments", "a b").Body.String(), sampleEvents)
	is.Equal(len(f.sends), 2)
	is.Equal(f.sends[1].LastEventID, "1")
}

// An endpoint that leaves closes its listener before its last answers end.
func TestLastAnswersOfLeavingEndpointAreWhole(t *testing.T) {
	for path, text := range map[string]string{"/stream/x": sampleEvents, "/once/x": "receipt"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t).configure()
			f.probe = ErrEndpointDown
			f.send = func(_ int, _ context.Context, d *Dispatch) (*Reply, error) {
				f.endpoints.Leave(time.Now(), d.Endpoint.Key())
				r := newReply(http.StatusOK, text)
				r.Framing = framing.Connection
				return r, nil
			}
			f.aborted = func() { t.Error("cut") }
			w := f.serve(path, "Prompt", "50")
			is.Equal(w.Code, http.StatusOK)
			is.Equal(w.Body.String(), text)
		})
	}
}

// Guards against callers who resume a whole stream behind its last event and get an error.
func TestStreamResumedBehindItsLastEventIsWhole(t *testing.T) {
	for lastID, status := range map[string]int{"2": http.StatusOK, "": http.StatusBadGateway} {
		is := is.New(t)
		f := newFixture(t).configure()
		f.send = func(int, context.Context, *Dispatch) (*Reply, error) { return newReply(http.StatusOK, ""), nil }
		w := f.serve("/stream/x", "Prompt", "50", "Last-Event-Id", lastID)
		is.Equal(w.Code, status)
		is.Equal(len(f.sends), 1)
		is.Equal(w.Header().Get("Seal") != "", status == http.StatusOK) // the endpoint's own answer
	}
}
