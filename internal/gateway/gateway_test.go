package gateway

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/catalog"
	"github.com/acacialink/acacialink/internal/endpoint"
	"github.com/acacialink/acacialink/internal/lease"
	"github.com/acacialink/acacialink/internal/observe"
	"github.com/acacialink/acacialink/internal/placement"
	"github.com/acacialink/acacialink/internal/verdict"
)

// site is a gateway with fake engines and services.
type site struct {
	t         *testing.T
	gateway   *Gateway
	holder    *catalog.Holder
	endpoints *endpoint.Set
	quota     *fakeQuota
	usage     fakeUsage
	left      time.Duration
	ending    bool

	mu    sync.Mutex
	sends []Dispatch
	// send answers a send by its number, from 1.
	send    func(n int, ctx context.Context, d *Dispatch) (*Reply, error)
	prefill func(d *Dispatch) (Prefilled, error)
}

type fakeQuota struct {
	taken, given int64
	// short is how many times the next takings are refused for a moment.
	short int
}

func (q *fakeQuota) Take(_ time.Time, _ *catalog.Workspace, n int64) (time.Duration, bool) {
	if q.short > 0 {
		q.short--
		return time.Millisecond, false
	}
	q.taken += n
	return 1500 * time.Millisecond, q.taken <= 1_000_000
}

func (q *fakeQuota) Give(_ string, n int64) { q.given += n }

type fakeUsage struct{ began int }

func (u *fakeUsage) Began(string) { u.began++ }

// testIngress reads the facts of a request from plain headers.
type testIngress struct{}

func (testIngress) Call(r *http.Request) (*Call, error) {
	c := &Call{ID: r.Header.Get("Id"), Host: r.Host, Method: r.Method, Target: r.RequestURI, Path: r.URL.Path, Key: r.Header.Get("Key")}
	if n, err := strconv.Atoi(r.Header.Get("Prompt")); err == nil {
		c.HasTokens, c.Prompt, c.Output = true, n, 10
	}
	if ms, err := strconv.Atoi(r.Header.Get("Patience")); err == nil {
		c.Patience = time.Duration(ms) * time.Millisecond
	}
	return c, nil
}

func (testIngress) Identify(h http.Header, c *Call) { h.Set("Id", c.ID) }

func (s *site) Send(ctx context.Context, _ *Call, d *Dispatch) (*Reply, error) {
	s.mu.Lock()
	s.sends = append(s.sends, *d)
	n := len(s.sends)
	s.mu.Unlock()
	return s.send(n, ctx, d)
}

func (s *site) Prefill(_ context.Context, _ *Call, d *Dispatch) (Prefilled, error) {
	return s.prefill(d)
}

func (s *site) Release(context.Context, *endpoint.Endpoint, Prefilled) error { return nil }

func newSite(t *testing.T) *site {
	s := &site{t: t, quota: &fakeQuota{}}
	s.holder = catalog.NewHolder(lease.SystemClock{}, time.Minute)
	s.endpoints = endpoint.NewSet(time.Second)
	s.prefill = func(*Dispatch) (Prefilled, error) { return Prefilled{Source: "cache"}, nil }
	s.gateway = New(Options{
		Ingress: testIngress{}, Sender: s, Catalog: s.holder, Endpoints: s.endpoints,
		Tracker: placement.NewTracker(placement.DefaultCosts()), Quota: s.quota, Usage: &s.usage,
		Budget: NewBudget(0.2, 10*time.Second, func() float64 { return 20 }),
		Domain: "d", Hosts: func() int { return 1 }, Ending: func() (time.Duration, bool) { return s.left, s.ending },
		Metrics: NewMetrics(observe.NewRegistry(observe.Identity{})), Log: slog.New(slog.DiscardHandler),
	})
	return s
}

// configure puts a configuration in force and three endpoints of each service.
func (s *site) configure() *site {
	route := func(name string, kind catalog.Kind, attempts int, service string) *catalog.Route {
		return &catalog.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Attempts: attempts, Timeout: 2 * time.Second,
			Target: time.Second, Services: []catalog.WeightedService{{Service: service, Weight: 1}},
		}
	}
	resumable := route("resume", catalog.Stream, 2, "engine")
	resumable.Resumable = true
	s.holder.Offer(1, catalog.New(1, catalog.Limits{BodyBytes: 100},
		[]*catalog.Route{route("once", catalog.Once, 1, "app"), route("read", catalog.Repeatable, 2, "app"), route("stream", catalog.Stream, 1, "engine"), resumable},
		[]*catalog.Service{{Name: "app"}, {Name: "engine", Engine: &catalog.Engine{LinkMbps: 1e6, TokenBytes: 1e5}}},
		[]*catalog.Workspace{{Name: "w", Priority: -1, Rate: 1}}, map[string]string{"k": "w"}))
	s.holder.Confirm(1, lease.SystemClock{}.Now())
	s.endpoints.Replace(time.Now(), []*endpoint.Endpoint{
		{ID: "a1", Address: "a1", Service: "app", Slots: 6},
		{ID: "a2", Address: "a2", Service: "app", Slots: 6},
		{ID: "a3", Address: "a3", Service: "app", Slots: 6},
		{ID: "p1", Address: "p1", Service: "engine", Slots: 64, Stage: endpoint.StagePrefill},
		{ID: "e1", Address: "e1", Service: "engine", Slots: 64, Stage: endpoint.StageDecode},
		{ID: "e2", Address: "e2", Service: "engine", Slots: 64, Stage: endpoint.StageDecode},
	})
	return s
}

func (s *site) ask(path string, header ...string) *httptest.ResponseRecorder {
	s.t.Helper()
	r := httptest.NewRequestWithContext(s.t.Context(), http.MethodGet, path, nil)
	r.Host = "h"
	r.Header.Set("Id", "7")
	r.Header.Set("Key", "k")
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	func() {
		defer func() {
			if p := recover(); p != nil && p != http.ErrAbortHandler { //nolint:errorlint // the value that net/http compares
				panic(p)
			}
		}()
		s.gateway.ServeHTTP(w, r)
	}()
	return w
}

func reply(status int, text string) *Reply {
	return &Reply{Status: status, Header: http.Header{"Seal": {"s"}}, Length: int64(len(text)), Body: io.NopCloser(strings.NewReader(text)), Authentic: true}
}

// cut is a body that breaks off after its text.
type cut struct{ io.Reader }

func (c cut) Read(b []byte) (int, error) {
	n, err := c.Reader.Read(b)
	if err == io.EOF { //nolint:errorlint // strings.Reader returns it bare
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func (cut) Close() error { return nil }

func cutReply(text string) *Reply {
	r := reply(http.StatusOK, "")
	r.Body = cut{strings.NewReader(text)}
	return r
}

var errLost = verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "endpoint_lost", "lost")

func rejected() *Reply {
	r := reply(http.StatusServiceUnavailable, "")
	r.NotRun = true
	return r
}

func TestAnAnswerIsRelayedAsItIs(t *testing.T) {
	is := is.New(t)
	s := newSite(t).configure()
	s.send = func(int, context.Context, *Dispatch) (*Reply, error) { return reply(http.StatusCreated, "body"), nil }
	w := s.ask("/once/x")
	is.Equal(w.Code, http.StatusCreated)
	is.Equal(w.Body.String(), "body")
	is.Equal(w.Header().Get("Seal"), "s")
	is.Equal(s.usage.began, 1)
	is.Equal(s.sends[0].Workspace, "w")
}

// Each refusal before a send says that the request has not run.
func TestRefusals(t *testing.T) {
	send := func(int, context.Context, *Dispatch) (*Reply, error) { return reply(http.StatusOK, "ok"), nil }
	for _, c := range []struct {
		name    string
		prepare func(s *site)
		path    string
		header  []string
		status  int
		code    string
	}{
		{"no configuration", nil, "/once/x", nil, http.StatusServiceUnavailable, "no_configuration"},
		{"no route", func(s *site) { s.configure() }, "/none/x", nil, http.StatusNotFound, "no_route"},
		{"unknown key", func(s *site) { s.configure() }, "/once/x", []string{"Key", "other"}, http.StatusUnauthorized, "unknown_key"},
		{"stale", func(s *site) {
			s.configure()
			s.holder.Offer(2, s.holder.Current()) // newer, and not confirmed
			s.holder = catalog.NewHolder(lease.SystemClock{}, time.Nanosecond)
			s.holder.Offer(1, s.gateway.o.Catalog.Current())
			s.gateway.o.Catalog = s.holder
		}, "/once/x", nil, http.StatusServiceUnavailable, "stale_configuration"},
		{"stale, unknown route", func(s *site) {
			s.configure()
			h := catalog.NewHolder(lease.SystemClock{}, time.Nanosecond)
			h.Offer(1, s.holder.Current())
			s.gateway.o.Catalog = h
		}, "/none/x", nil, http.StatusServiceUnavailable, "stale_configuration"},
		{"over the rate", func(s *site) { s.configure().quota.taken = 1_000_000 }, "/stream/x", []string{"Prompt", "5"}, http.StatusTooManyRequests, "rate_limited"},
		{"ending", func(s *site) { s.configure(); s.ending, s.left = true, time.Second }, "/stream/x", nil, http.StatusServiceUnavailable, "host_ending"},
		{"no endpoint", func(s *site) { s.configure().endpoints.Replace(time.Now(), nil) }, "/once/x", nil, http.StatusServiceUnavailable, "no_endpoint"},
		{"too late", func(s *site) { s.configure() }, "/stream/x", []string{"Prompt", "900000"}, http.StatusServiceUnavailable, "too_late"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t)
			s.send = send
			if c.prepare != nil {
				c.prepare(s)
			}
			w := s.ask(c.path, c.header...)
			is.Equal(w.Code, c.status)
			is.True(strings.Contains(w.Body.String(), `"code":"`+c.code+`"`))
			is.True(strings.Contains(w.Body.String(), `"verdict":"not-run"`))
			is.Equal(w.Header().Get("Id"), "7")
			is.Equal(len(s.sends), 0)
			is.Equal(c.status == http.StatusServiceUnavailable || c.status == http.StatusTooManyRequests, w.Header().Get("Retry-After") != "")
		})
	}
}

// A request that may run once is not sent again after it may have run, and is
// then never called "not run".
func TestOnceIsSentOnce(t *testing.T) {
	is := is.New(t)
	s := newSite(t).configure()
	s.send = func(int, context.Context, *Dispatch) (*Reply, error) { return nil, errLost }
	w := s.ask("/once/x")
	is.Equal(w.Code, http.StatusBadGateway)
	is.Equal(w.Header().Get("Retry-After"), "")
	is.Equal(len(s.sends), 1)
}

func TestARejectedRequestGoesToAnotherEndpoint(t *testing.T) {
	is := is.New(t)
	s := newSite(t).configure()
	s.send = func(n int, _ context.Context, _ *Dispatch) (*Reply, error) {
		if n == 1 {
			return rejected(), nil
		}
		return reply(http.StatusOK, "ok"), nil
	}
	is.Equal(s.ask("/once/x").Code, http.StatusOK)
	is.Equal(len(s.sends), 2)
	is.True(s.sends[0].Endpoint.ID != s.sends[1].Endpoint.ID)
}

// A rejection after the request may have run elsewhere is no "not run".
func TestRejectedAfterItMayHaveRun(t *testing.T) {
	is := is.New(t)
	s := newSite(t).configure()
	s.send = func(n int, _ context.Context, _ *Dispatch) (*Reply, error) {
		if n == 1 {
			return nil, errLost
		}
		return rejected(), nil
	}
	is.Equal(s.ask("/read/x").Code, http.StatusBadGateway)
}

// A repeatable request whose endpoint failed is tried once more, within its
// attempts; the last endpoint's own failure is what the caller gets.
func TestARepeatableRequestIsTriedAgain(t *testing.T) {
	is := is.New(t)
	s := newSite(t).configure()
	s.send = func(int, context.Context, *Dispatch) (*Reply, error) {
		return reply(http.StatusInternalServerError, "own failure"), nil
	}
	w := s.ask("/read/x")
	is.Equal(w.Code, http.StatusInternalServerError)
	is.Equal(w.Body.String(), "own failure")
	is.Equal(w.Header().Get("Seal"), "s")
	is.Equal(len(s.sends), 2)
}

func TestTheBudgetBoundsRepeats(t *testing.T) {
	is := is.New(t)
	s := newSite(t).configure()
	s.gateway.o.Budget = NewBudget(0, 10*time.Second, func() float64 { return 1 })
	s.send = func(int, context.Context, *Dispatch) (*Reply, error) { return nil, errLost }
	for range 3 {
		s.ask("/read/x")
	}
	is.Equal(len(s.sends), 4)
}

func TestAForeignAnswerIsNotRelayed(t *testing.T) {
	is := is.New(t)
	s := newSite(t).configure()
	s.send = func(int, context.Context, *Dispatch) (*Reply, error) {
		r := reply(http.StatusOK, "other")
		r.Authentic = false
		return r, nil
	}
	w := s.ask("/once/x")
	is.Equal(w.Code, http.StatusBadGateway)
	is.True(!strings.Contains(w.Body.String(), "other"))
}

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
		s.endpoints.Update(time.Now(), nil, []string{"e1"})
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

// A caller waits a moment for tokens rather than being sent away.
func TestARequestWaitsAMomentForItsRate(t *testing.T) {
	is := is.New(t)
	s := newSite(t).configure()
	s.quota.short = 3
	s.send = func(int, context.Context, *Dispatch) (*Reply, error) { return reply(http.StatusOK, events), nil }
	is.Equal(s.ask("/stream/x", "Prompt", "50").Code, http.StatusOK)
}

func TestTokensOfARequestThatDidNotRunAreGivenBack(t *testing.T) {
	is := is.New(t)
	s := newSite(t).configure()
	s.send = func(int, context.Context, *Dispatch) (*Reply, error) { return rejected(), nil }
	is.Equal(s.ask("/stream/x", "Prompt", "50").Code, http.StatusServiceUnavailable)
	is.Equal(s.quota.taken, int64(60))
	is.Equal(s.quota.given, int64(60))
}

// What is passed on never outlasts the caller's own deadline or the route's.
func TestEndpointsGetTheTimeThatIsLeft(t *testing.T) {
	is := is.New(t)
	s := newSite(t).configure()
	s.send = func(n int, _ context.Context, _ *Dispatch) (*Reply, error) {
		time.Sleep(30 * time.Millisecond)
		if n%2 == 1 {
			return rejected(), nil
		}
		return reply(http.StatusOK, "ok"), nil
	}
	s.ask("/once/x", "Patience", "500")
	is.True(s.sends[0].Left <= 500*time.Millisecond)
	is.True(s.sends[1].Left <= s.sends[0].Left-30*time.Millisecond)
	s.ask("/once/x", "Patience", "60000")
	is.True(s.sends[2].Left <= 2*time.Second) // the route's
}

// A caller that leaves ends the work at the endpoint at once.
func TestACallerThatLeavesEndsTheSend(t *testing.T) {
	is := is.New(t)
	s := newSite(t).configure()
	begun, ended := make(chan struct{}), make(chan struct{})
	s.send = func(_ int, ctx context.Context, _ *Dispatch) (*Reply, error) {
		close(begun)
		<-ctx.Done()
		close(ended)
		return nil, errLost
	}
	server := httptest.NewServer(s.gateway)
	defer server.Close()
	c, err := net.Dial("tcp", server.Listener.Addr().String()) //nolint:noctx // loopback
	is.NoErr(err)
	_, err = io.WriteString(c, "GET /once/x HTTP/1.1\r\nHost: h\r\nId: 7\r\nKey: k\r\n\r\n")
	is.NoErr(err)
	<-begun
	is.NoErr(c.Close())
	<-ended
}

func TestABodyOverTheLimitIsRefused(t *testing.T) {
	is := is.New(t)
	s := newSite(t).configure()
	r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/once/x", strings.NewReader(strings.Repeat("x", 101)))
	r.Host = "h"
	r.Header.Set("Key", "k")
	w := httptest.NewRecorder()
	s.gateway.ServeHTTP(w, r)
	is.Equal(w.Code, http.StatusRequestEntityTooLarge)
	is.Equal(len(s.sends), 0)
}
