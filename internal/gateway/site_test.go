package gateway

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

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
	prefill func(ctx context.Context, d *Dispatch) (Prefilled, error)
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

func (q *fakeQuota) Give(_, _ time.Time, _ string, n int64) { q.given += n }

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

func (s *site) Prefill(ctx context.Context, _ *Call, d *Dispatch) (Prefilled, error) {
	return s.prefill(ctx, d)
}

func (s *site) Release(context.Context, *endpoint.Endpoint, Prefilled) error { return nil }

func newSite(t *testing.T) *site {
	s := &site{t: t, quota: &fakeQuota{}}
	s.holder = catalog.NewHolder(lease.SystemClock{}, time.Minute)
	s.endpoints = endpoint.NewSet(time.Second)
	s.prefill = func(context.Context, *Dispatch) (Prefilled, error) { return Prefilled{Source: "cache"}, nil }
	s.gateway = New(Options{
		Ingress: testIngress{}, Sender: s, Catalog: s.holder, Endpoints: s.endpoints,
		Tracker: placement.NewTracker(placement.DefaultCosts()), Quota: s.quota, Usage: &s.usage,
		Budget: NewBudget(time.Now(), 0.2, 10*time.Second, func() float64 { return 20 }),
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
	s.endpoints.Replace(time.Now(), 0, []*endpoint.Endpoint{
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
