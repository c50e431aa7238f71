package entry_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"storj.io/drpc/drpcmux"

	"github.com/acacialink/acacialink/internal/agent"
	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/entry"
	"github.com/acacialink/acacialink/internal/fleet"
	"github.com/acacialink/acacialink/internal/once"
	"github.com/acacialink/acacialink/internal/queue"
	"github.com/acacialink/acacialink/internal/resource"
	"github.com/acacialink/acacialink/internal/route"
	"github.com/acacialink/acacialink/internal/rpc"
	"github.com/acacialink/acacialink/internal/rpc/wire"
	"github.com/acacialink/acacialink/internal/snapshot"
	"github.com/acacialink/acacialink/internal/standin/engine"
	"github.com/acacialink/acacialink/internal/standin/kv"
)

const (
	testKey   = "sk-test-0123456789abcdef"
	testModel = "lantern-7b"
)

// site is one entry host before some agents, all in this process; only the
// sessions between them are real connections.
type site struct {
	server *entry.Server
	url    string
	store  *kv.Store
	holder *snapshot.Holder
	fleet  *fleet.Fleet
	router *route.Router
	agents map[string]*testAgent
}

type testAgent struct {
	agent   *agent.Agent
	address string
	stop    func()
}

// noQuota admits all; quota has its own tests.
type noQuota struct{}

func (noQuota) Reserve(context.Context, string, resource.WorkspaceSpec, int64) (entry.Reservation, error) {
	return noQuota{}, nil
}

func (noQuota) Start(context.Context) error { return nil }

func (noQuota) Settle(int64) {}

type noUsage struct{}

func (noUsage) Add(string, string, int64, int64, int64, int64) {}

func startAgent(tb testing.TB, o agent.Options) *testAgent {
	tb.Helper()
	o.LoadInterval = 5 * time.Millisecond
	o.LameDuck = 100 * time.Millisecond
	a := agent.New(o)
	mux := drpcmux.New()
	if err := wire.DRPCRegisterAgent(mux, a); err != nil {
		tb.Fatal(err)
	}
	listener, err := new(net.ListenConfig).Listen(tb.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = rpc.NewServer(mux, nil, rpc.Options{}).Serve(ctx, listener)
	}()
	go a.Run(ctx)
	stop := func() {
		cancel()
		<-done
	}
	tb.Cleanup(stop)
	return &testAgent{agent: a, address: listener.Addr().String(), stop: stop}
}

// newSite starts an entry host; each option set becomes one agent.
func newSite(tb testing.TB, agents map[string]agent.Options, change ...func(*entry.Options)) *site {
	tb.Helper()
	s := &site{store: kv.New(kv.Options{}), agents: make(map[string]*testAgent)}
	tb.Cleanup(s.store.Close)
	for name, o := range agents {
		o.Endpoint = name
		o.Domain = "north"
		s.agents[name] = startAgent(tb, o)
	}
	s.holder = snapshot.NewHolder(snapshot.HolderOptions{
		Host: "entry-1", Domain: "north",
		Log:       snapshot.NewLog(s.store, nil),
		Directory: func() []snapshot.Peer { return []snapshot.Peer{{Name: "entry-1", Domain: "north"}} },
	})
	s.router = route.NewRouter(route.NewPicker(rand.New(rand.NewPCG(1, 2))))
	s.fleet = fleet.New(fleet.Options{
		Host: "entry-1", Domain: "north",
		Dialer:        func(string) *rpc.Dialer { return rpc.NewDialer(nil, rpc.Options{}) },
		Stats:         &rpc.Stats{},
		Router:        s.router,
		Subset:        route.DefaultSubsetSize,
		RetireTimeout: time.Second,
	})
	ctx, cancel := context.WithCancel(context.Background())
	tb.Cleanup(func() {
		cancel()
		s.fleet.Wait()
	})
	go s.holder.Run(ctx)
	s.configure(tb, ctx)
	s.serve(tb, change...)
	return s
}

func (s *site) serve(tb testing.TB, change ...func(*entry.Options)) {
	queues := entry.NewQueues(queue.DefaultSettings())
	queues.SetCapacity(testModel, queue.Capacity{PrefillTokens: 1 << 20, Pieces: 1 << 20, PrefillRate: 1 << 20, DecodeRate: 1 << 20})
	o := entry.Options{
		Domain: "north", Config: s.holder, Router: s.router, Sessions: s.fleet,
		Quota: noQuota{}, Queue: queues, Claims: once.New(s.store, once.Options{}), Usage: noUsage{},
		Limits: entry.Limits{BodyBytes: 1 << 20, PromptBytes: 1 << 20, OpenRequests: 10_000},
		Timeouts: entry.Timeouts{
			Body: 5 * time.Second, Write: 5 * time.Second, Queue: 5 * time.Second,
			FirstToken: 5 * time.Second, BetweenTokens: 2 * time.Second, Call: 5 * time.Second,
		},
	}
	for _, one := range change {
		one(&o)
	}
	s.server = entry.New(o)
	server := httptest.NewServer(s.server)
	tb.Cleanup(server.Close)
	s.url = server.URL
}

func item(tb testing.TB, kind resource.Kind, name string, spec any) snapshot.Item {
	tb.Helper()
	raw, err := json.Marshal(spec)
	if err != nil {
		tb.Fatal(err)
	}
	return snapshot.Item{Resource: resource.Resource{Kind: kind, Name: name, Generation: 1, Spec: raw}}
}

func (s *site) change(tb testing.TB, items ...snapshot.Item) {
	tb.Helper()
	_, err := s.holder.Change(tb.Context(), func(*snapshot.View) (snapshot.Change, error) {
		return snapshot.Change{Items: items}, nil
	})
	if err != nil {
		tb.Fatal(err)
	}
}

// configure declares the site and waits until its endpoints are heard.
func (s *site) configure(tb testing.TB, ctx context.Context) {
	tb.Helper()
	sum := sha256.Sum256([]byte(testKey))
	items := []snapshot.Item{
		item(tb, resource.KindDomain, "north", resource.DomainSpec{Region: "r1"}),
		item(tb, resource.KindModel, testModel, resource.ModelSpec{Version: "1", MaxPromptTokens: 100_000, MaxOutputTokens: 2000}),
		item(tb, resource.KindWorkspace, "school", resource.WorkspaceSpec{RateTokens: 1000, BurstTokens: 1000}),
		item(tb, resource.KindKey, "school-1", resource.KeySpec{Workspace: "school", SHA256: hex.EncodeToString(sum[:])}),
		item(tb, resource.KindRoute, "status", resource.RouteSpec{Prefix: "/status", Service: "orders"}),
		item(tb, resource.KindRoute, "deposit", resource.RouteSpec{Prefix: "/deposit", Service: "orders", AtMostOnce: true}),
		item(tb, resource.KindRoute, "open", resource.RouteSpec{Prefix: "/open", Service: "orders", Open: true}),
	}
	for name, a := range s.agents {
		spec := resource.EndpointSpec{Kind: resource.EndpointEngine, Domain: "north", Agent: a.address, Models: []string{testModel}}
		if strings.HasPrefix(name, "orders") {
			spec = resource.EndpointSpec{Kind: resource.EndpointService, Domain: "north", Agent: a.address, Service: "orders"}
		}
		items = append(items, item(tb, resource.KindEndpoint, name, spec))
	}
	s.change(tb, items...)
	s.reconcile(ctx)
	s.await(tb, "all endpoints are ready", func() bool {
		ready := 0
		for _, c := range s.router.Candidates() {
			if c.Ready {
				ready++
			}
		}
		_, err := s.holder.Use()
		return ready == len(s.agents) && err == nil
	})
}

func (s *site) reconcile(ctx context.Context) {
	var endpoints []fleet.Endpoint
	for _, e := range s.holder.Current().Endpoints() {
		endpoints = append(endpoints, fleet.Endpoint{Name: e.Name, Spec: e.Spec})
	}
	s.fleet.Reconcile(ctx, endpoints, nil)
}

// awaitLimit ends a test whose condition never comes true.
const awaitLimit = 30 * time.Second

func (s *site) await(tb testing.TB, what string, condition func() bool) {
	tb.Helper()
	for end := time.Now().Add(awaitLimit); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if condition() {
			return
		}
	}
	tb.Fatalf("never: %s", what)
}

func newEngine(step time.Duration) *engine.Engine {
	return engine.New(engine.Options{Models: []string{testModel}, Step: step, PerSequence: time.Nanosecond, PrefillRate: 1e7, LoadLag: time.Millisecond})
}

// answer is a response that was read to its end.
type answer struct {
	status int
	header http.Header
	body   []byte
	// err is set when the answer was cut.
	err error
}

func (s *site) do(tb testing.TB, method, path, key, body string, header ...string) answer {
	tb.Helper()
	r, err := http.NewRequestWithContext(tb.Context(), method, s.url+path, strings.NewReader(body))
	if err != nil {
		tb.Fatal(err)
	}
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		tb.Fatal(err)
	}
	defer response.Body.Close()
	read, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: read, err: err}
}

func (s *site) post(tb testing.TB, path, key, body string, header ...string) answer {
	tb.Helper()
	return s.do(tb, http.MethodPost, path, key, body, header...)
}

// streamed is what a caller saw of an answer by server-sent events.
type streamed struct {
	text  string
	done  bool
	error string
}

func parseStream(tb testing.TB, body []byte) streamed {
	tb.Helper()
	is := is.New(tb.(*testing.T))
	var s streamed
	scanner := bufio.NewScanner(bytes.NewReader(body))
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			s.done = true
			continue
		}
		var event struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
			Error *entry.ErrorDetail `json:"error"`
		}
		is.NoErr(json.Unmarshal([]byte(data), &event))
		if event.Error != nil {
			s.error = event.Error.Code
			continue
		}
		s.text += event.Choices[0].Delta.Content
	}
	return s
}

// promptOf is the prompt that the engines see for one user message.
func promptOf(message string) string { return "user: " + message + "\n" }

func chatBody(message string, tokens int, stream bool) string {
	body, _ := json.Marshal(map[string]any{
		"model": testModel, "max_tokens": tokens, "stream": stream,
		"messages": []map[string]string{{"role": "user", "content": message}},
	})
	return string(body)
}

var _ backing.Engine = (*engine.Engine)(nil)
