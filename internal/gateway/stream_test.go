package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/endpoint"
)

const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

func TestAStreamIsPrefilledApartAndRelayed(t *testing.T) {
	is := is.New(t)
	s := newSite(t).configure()
	s.send = func(int, context.Context, *Dispatch) (*Reply, error) { return reply(http.StatusOK, events), nil }
	w := s.ask("/stream/x", "Prompt", "5000")
	is.Equal(w.Code, http.StatusOK)
	is.Equal(w.Body.String(), events)
	is.Equal(s.sends[0].Source, "cache")
	is.Equal(s.sends[0].Endpoint.Stage, endpoint.StageDecode)
	is.Equal(s.usage.began, 1)
}

// The engine that generates is chosen once the prompt is read: one that began
// to leave meanwhile gets no request.
func TestAnEngineThatLeavesDuringThePrefillGetsNoRequest(t *testing.T) {
	is := is.New(t)
	s := newSite(t).configure()
	s.prefill = func(*Dispatch) (Prefilled, error) {
		s.endpoints.Remove(time.Now(), "e1", 0)
		return Prefilled{Source: "cache"}, nil
	}
	s.send = func(int, context.Context, *Dispatch) (*Reply, error) { return reply(http.StatusOK, events), nil }
	for range 8 {
		s.ask("/stream/x", "Prompt", "5000")
	}
	for _, d := range s.sends {
		is.Equal(d.Endpoint.ID, "e2")
	}
}

// A cache that cannot be taken costs one more try, not the request.
func TestALapsedCacheIsNotTheEnd(t *testing.T) {
	is := is.New(t)
	s := newSite(t).configure()
	s.send = func(_ int, _ context.Context, d *Dispatch) (*Reply, error) {
		if d.Source != "" {
			return rejected(), nil
		}
		return reply(http.StatusOK, events), nil
	}
	w := s.ask("/stream/x", "Prompt", "5000")
	is.Equal(w.Code, http.StatusOK)
	is.Equal(w.Body.String(), events)
}

func TestAStreamThatMayNotRepeatBreaksVisibly(t *testing.T) {
	is := is.New(t)
	s := newSite(t).configure()
	s.send = func(int, context.Context, *Dispatch) (*Reply, error) {
		return cutReply("id: 1\ndata: a\n\nid: 2\nda"), nil
	}
	server := httptest.NewServer(s.gateway)
	defer server.Close()
	c, err := net.Dial("tcp", server.Listener.Addr().String()) //nolint:noctx // loopback
	is.NoErr(err)
	defer c.Close()
	_, err = io.WriteString(c, "GET /stream/x HTTP/1.1\r\nHost: h\r\nId: 7\r\nKey: k\r\nPrompt: 5000\r\n\r\n")
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	is.Equal(string(text), "id: 1\ndata: a\n\n") // no part of an event
	is.Equal(len(s.sends), 1)
}

// A resumable stream goes on after the last event that the caller has, and
// every event comes once.
func TestAResumableStreamGoesOn(t *testing.T) {
	is := is.New(t)
	s := newSite(t).configure()
	s.send = func(n int, _ context.Context, d *Dispatch) (*Reply, error) {
		if n == 1 {
			return cutReply("id: 1\ndata: a\n\nid: 2\nda"), nil
		}
		is.Equal(d.After, "1")
		return reply(http.StatusOK, "id: 2\ndata: b\n\n"), nil
	}
	w := s.ask("/resume/x", "Prompt", "50")
	is.Equal(w.Body.String(), events)
	is.Equal(len(s.sends), 2)
	is.Equal(s.usage.began, 1)
}

// The last engine's own failure is what the caller gets, also of a stream that
// may be resumed.
func TestAnEnginesOwnFailureIsRelayed(t *testing.T) {
	for _, path := range []string{"/stream/x", "/resume/x"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t).configure()
			s.send = func(int, context.Context, *Dispatch) (*Reply, error) {
				return reply(http.StatusInternalServerError, "own failure"), nil
			}
			w := s.ask(path, "Prompt", "50")
			is.Equal(w.Code, http.StatusInternalServerError)
			is.Equal(w.Body.String(), "own failure")
			is.Equal(w.Header().Get("Seal"), "s")
		})
	}
}
