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
	"github.com/acacialink/acacialink/internal/idempotency"
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

// testHost is one entry host with its agents, all in this process. Callers and agent
// sessions connect over TCP.
type testHost struct {
	server *entry.Server
	url    string
	store  *kv.Store
	config *snapshot.Replica
	fleet  *fleet.Fleet
	router *route.Router
	agents map[string]*testAgent
}

type testAgent struct {
	agent   *agent.Agent
	address string
	stop    func()
}

// unlimitedQuota is a Quota without limits.
type unlimitedQuota struct{}

func (unlimitedQuota) Reserve(context.Context, string, resource.WorkspaceSpec, int64) (entry.Reservation, error) {
	return unlimitedQuota{}, nil
}

func (unlimitedQuota) Start(context.Context) error { return nil }

func (unlimitedQuota) Settle(int64) {}

// discardUsage is a Usage that records nothing.
type discardUsage struct{}

func (discardUsage) Add(string, string, int64, int64, int64, int64) {}

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

// newTestHost starts an entry host and one agent for each of the options, by endpoint
// name. An endpoint whose name starts with "orders" is a service, any other an engine.
func newTestHost(tb testing.TB, agents map[string]agent.Options, modify ...func(*entry.Options)) *testHost {
	tb.Helper()
	host := &testHost{store: kv.New(kv.Options{}), agents: make(map[string]*testAgent)}
	tb.Cleanup(host.store.Close)
	for name, o := range agents {
		o.Endpoint = name
		o.Domain = "north"
		host.agents[name] = startAgent(tb, o)
	}
	host.config = snapshot.NewReplica(snapshot.ReplicaOptions{
		Host: "entry-1", Domain: "north",
		Log:       snapshot.NewLog(host.store, nil),
		Directory: func() []snapshot.Peer { return []snapshot.Peer{{Name: "entry-1", Domain: "north"}} },
	})
	host.router = route.NewRouter(route.NewCostPolicy(rand.New(rand.NewPCG(1, 2))))
	host.fleet = fleet.New(fleet.Options{
		Host: "entry-1", Domain: "north",
		Dialer:        func(string) *rpc.Dialer { return rpc.NewDialer(nil, rpc.Options{}) },
		Stats:         &rpc.Stats{},
		Router:        host.router,
		Subset:        route.DefaultSubsetSize,
		RetireTimeout: time.Second,
	})
	ctx, cancel := context.WithCancel(context.Background())
	tb.Cleanup(func() {
		cancel()
		host.fleet.Wait()
	})
	go host.config.Run(ctx)
	host.configure(tb, ctx)
	host.startServer(tb, modify...)
	return host
}

func (host *testHost) startServer(tb testing.TB, modify ...func(*entry.Options)) {
	queues := entry.NewQueues(queue.DefaultSettings())
	queues.SetCapacity(testModel, queue.Capacity{PrefillTokens: 1 << 20, KVBlocks: 1 << 20, PrefillRate: 1 << 20, DecodeRate: 1 << 20})
	options := entry.Options{
		Domain: "north", Config: host.config, Router: host.router, Sessions: host.fleet,
		Quota: unlimitedQuota{}, Queue: queues, Claims: idempotency.New(host.store, idempotency.Options{}), Usage: discardUsage{},
		Limits: entry.Limits{BodyBytes: 1 << 20, PromptBytes: 1 << 20, OpenRequests: 10_000},
		Timeouts: entry.Timeouts{
			Body: 5 * time.Second, Write: 5 * time.Second, Queue: 5 * time.Second,
			FirstToken: 5 * time.Second, BetweenTokens: 2 * time.Second, Call: 5 * time.Second,
		},
	}
	for _, modifyOptions := range modify {
		modifyOptions(&options)
	}
	host.server = entry.New(options)
	server := httptest.NewServer(host.server)
	tb.Cleanup(server.Close)
	host.url = server.URL
}

func configItem(tb testing.TB, kind resource.Kind, name string, spec any) snapshot.Item {
	tb.Helper()
	raw, err := json.Marshal(spec)
	if err != nil {
		tb.Fatal(err)
	}
	return snapshot.Item{Resource: resource.Resource{Kind: kind, Name: name, Generation: 1, Spec: raw}}
}

func (host *testHost) applyConfig(tb testing.TB, items ...snapshot.Item) {
	tb.Helper()
	_, err := host.config.Change(tb.Context(), func(*snapshot.View) (snapshot.Change, error) {
		return snapshot.Change{Items: items}, nil
	})
	if err != nil {
		tb.Fatal(err)
	}
}

// configure applies the resources of the test and waits until all endpoints are ready.
func (host *testHost) configure(tb testing.TB, ctx context.Context) {
	tb.Helper()
	digest := sha256.Sum256([]byte(testKey))
	items := []snapshot.Item{
		configItem(tb, resource.KindDomain, "north", resource.DomainSpec{Region: "r1"}),
		configItem(tb, resource.KindModel, testModel, resource.ModelSpec{Version: "1", MaxPromptTokens: 100_000, MaxOutputTokens: 2000}),
		configItem(tb, resource.KindWorkspace, "school", resource.WorkspaceSpec{RateTokens: 1000, BurstTokens: 1000}),
		configItem(tb, resource.KindKey, "school-1", resource.KeySpec{Workspace: "school", SHA256: hex.EncodeToString(digest[:])}),
		configItem(tb, resource.KindRoute, "status", resource.RouteSpec{Prefix: "/status", Service: "orders"}),
		configItem(tb, resource.KindRoute, "deposit", resource.RouteSpec{Prefix: "/deposit", Service: "orders", AtMostOnce: true}),
		configItem(tb, resource.KindRoute, "open", resource.RouteSpec{Prefix: "/open", Service: "orders", Open: true}),
	}
	for name, a := range host.agents {
		spec := resource.EndpointSpec{Kind: resource.EndpointEngine, Domain: "north", Agent: a.address, Models: []string{testModel}}
		if strings.HasPrefix(name, "orders") {
			spec = resource.EndpointSpec{Kind: resource.EndpointService, Domain: "north", Agent: a.address, Service: "orders"}
		}
		items = append(items, configItem(tb, resource.KindEndpoint, name, spec))
	}
	host.applyConfig(tb, items...)
	host.reconcile(ctx)
	host.waitFor(tb, "all endpoints ready", func() bool {
		ready := 0
		for _, c := range host.router.Candidates() {
			if c.Ready {
				ready++
			}
		}
		_, err := host.config.FreshView()
		return ready == len(host.agents) && err == nil
	})
}

// reconcile passes the configured endpoints to the fleet.
func (host *testHost) reconcile(ctx context.Context) {
	var endpoints []fleet.Endpoint
	for _, e := range host.config.Current().Endpoints() {
		endpoints = append(endpoints, fleet.Endpoint{Name: e.Name, Spec: e.Spec})
	}
	host.fleet.Reconcile(ctx, endpoints, nil)
}

// waitLimit is the time after which waitFor fails the test.
const waitLimit = 30 * time.Second

func (host *testHost) waitFor(tb testing.TB, description string, condition func() bool) {
	tb.Helper()
	for deadline := time.Now().Add(waitLimit); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if condition() {
			return
		}
	}
	tb.Fatalf("timed out waiting for: %s", description)
}

func newEngine(step time.Duration) *engine.Engine {
	return engine.New(engine.Options{Models: []string{testModel}, Step: step, PerSequence: time.Nanosecond, PrefillRate: 1e7, LoadLag: time.Millisecond})
}

// callerResponse is a response as received by a caller.
type callerResponse struct {
	status int
	header http.Header
	body   []byte
	// err is the error of reading the body, set if the response was truncated.
	err error
}

func (host *testHost) do(tb testing.TB, method, path, key, body string, header ...string) callerResponse {
	tb.Helper()
	r, err := http.NewRequestWithContext(tb.Context(), method, host.url+path, strings.NewReader(body))
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
	responseBody, err := io.ReadAll(response.Body)
	return callerResponse{status: response.StatusCode, header: response.Header, body: responseBody, err: err}
}

func (host *testHost) post(tb testing.TB, path, key, body string, header ...string) callerResponse {
	tb.Helper()
	return host.do(tb, http.MethodPost, path, key, body, header...)
}

// parsedStream is the content of a response that was sent as server-sent events.
type parsedStream struct {
	text  string
	done  bool
	error string
}

func parseStream(tb testing.TB, body []byte) parsedStream {
	tb.Helper()
	is := is.New(tb.(*testing.T))
	var parsed parsedStream
	scanner := bufio.NewScanner(bytes.NewReader(body))
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			parsed.done = true
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
			parsed.error = event.Error.Code
			continue
		}
		parsed.text += event.Choices[0].Delta.Content
	}
	return parsed
}

// enginePrompt returns the prompt that engines receive for a single user message.
func enginePrompt(message string) string { return "user: " + message + "\n" }

func chatBody(message string, tokens int, stream bool) string {
	body, _ := json.Marshal(map[string]any{
		"model": testModel, "max_tokens": tokens, "stream": stream,
		"messages": []map[string]string{{"role": "user", "content": message}},
	})
	return string(body)
}

var _ backing.Engine = (*engine.Engine)(nil)
