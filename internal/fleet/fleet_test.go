package fleet

import (
	"context"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"storj.io/drpc/drpcmux"

	"github.com/acacialink/acacialink/internal/resource"
	"github.com/acacialink/acacialink/internal/route"
	"github.com/acacialink/acacialink/internal/rpc"
	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// fakeAgent blocks each request until release is closed.
type fakeAgent struct {
	wire.DRPCAgentUnimplementedServer
	name    string
	started chan struct{}
	release chan struct{}
}

func (f *fakeAgent) Session(stream wire.DRPCAgent_SessionStream) error {
	return rpc.ServeSession(stream, f, rpc.Options{})
}

func (f *fakeAgent) State(uint64) *wire.AgentState {
	return &wire.AgentState{Endpoint: f.name, Ready: true, Models: []string{"m"}}
}

func (f *fakeAgent) Changed() <-chan struct{} { return nil }

func (f *fakeAgent) Handle(ctx context.Context, _ *wire.EntryMessage, r *rpc.Responder) {
	f.started <- struct{}{}
	select {
	case <-f.release:
	case <-ctx.Done():
		return
	}
	r.Send(&wire.AgentMessage{Body: &wire.AgentMessage_Finished{Finished: &wire.Finished{}}})
}

func startAgent(t *testing.T, name string) (*fakeAgent, string) {
	t.Helper()
	f := &fakeAgent{name: name, started: make(chan struct{}, 1), release: make(chan struct{})}
	mux := drpcmux.New()
	if err := wire.DRPCRegisterAgent(mux, f); err != nil {
		t.Fatal(err)
	}
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = rpc.NewServer(mux, nil, rpc.Options{}).Serve(ctx, listener) }()
	return f, listener.Addr().String()
}

// newFleet returns a fleet that treats every endpoint as leaving while leaving is
// true.
func newFleet(t *testing.T, leaving *atomic.Bool) (*Fleet, *route.Router, context.Context) {
	t.Helper()
	router := route.NewRouter(route.NewCostPolicy(rand.New(rand.NewPCG(1, 1))))
	f := New(Options{
		Host: "h", Domain: "north", Stats: &rpc.Stats{}, Router: router, Subset: route.DefaultSubsetSize,
		Dialer:        func(string) *rpc.Dialer { return rpc.NewDialer(nil, rpc.Options{}) },
		RetireTimeout: 10 * time.Second,
		Leaving:       func(string) bool { return leaving.Load() },
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		f.Wait()
	})
	return f, router, ctx
}

func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never")
		}
	}
}

func newEndpoint(name, address string) Endpoint {
	return Endpoint{Name: name, Spec: resource.EndpointSpec{Kind: resource.EndpointEngine, Domain: "north", Agent: address, Models: []string{"m"}}}
}

func TestReconcileFinishesRequestsOfRemovedEndpoint(t *testing.T) {
	is := is.New(t)
	agent, address := startAgent(t, "e")
	f, router, ctx := newFleet(t, &atomic.Bool{})
	f.Reconcile(ctx, []Endpoint{newEndpoint("e", address)}, nil)
	waitFor(t, func() bool { return len(router.Candidates()) == 1 })
	call, err := f.Session("e").Open("r", &wire.EntryMessage{Body: &wire.EntryMessage_Generate{Generate: &wire.GenerateRequest{}}})
	is.NoErr(err)
	<-agent.started
	f.Reconcile(ctx, nil, nil)
	is.Equal(len(router.Candidates()), 0) // No new requests are routed from here on.
	time.AfterFunc(100*time.Millisecond, func() { close(agent.release) })
	m, err := call.Next(t.Context())
	is.NoErr(err)
	is.True(m.GetFinished() != nil)
}

func TestLeavingEndpointIsNotPicked(t *testing.T) {
	is := is.New(t)
	_, address := startAgent(t, "e")
	leaving := &atomic.Bool{}
	f, router, ctx := newFleet(t, leaving)
	f.Reconcile(ctx, []Endpoint{newEndpoint("e", address)}, nil)
	waitFor(t, func() bool { return len(router.Candidates()) == 1 })
	_, err := router.Pick(time.Now(), &route.Request{Model: "m"})
	is.NoErr(err)
	leaving.Store(true)
	waitFor(t, func() bool {
		_, err := router.Pick(time.Now(), &route.Request{Model: "m"})
		return err != nil
	})
}

func TestAgentReportingAnotherEndpointIsNotRouted(t *testing.T) {
	is := is.New(t)
	_, address := startAgent(t, "other")
	observed := make(chan struct{}, 64)
	f, router, ctx := newFleet(t, &atomic.Bool{})
	f.opts.Observe = func(string, *wire.AgentState) { observed <- struct{}{} }
	f.Reconcile(ctx, []Endpoint{newEndpoint("e", address)}, nil)
	<-observed
	is.Equal(len(router.Candidates()), 0)
}

func TestStateSeenByRouterIsNotLinksOwn(t *testing.T) {
	is := is.New(t)
	_, address := startAgent(t, "leaving")
	leaving := &atomic.Bool{}
	leaving.Store(true)
	f, _, ctx := newFleet(t, leaving)
	f.Reconcile(ctx, []Endpoint{newEndpoint("leaving", address)}, nil)
	waitFor(t, func() bool { return f.States()["leaving"] != nil })
	is.True(f.States()["leaving"].Draining)
	f.mu.Lock()
	own, _ := f.links["leaving"].State()
	f.mu.Unlock()
	is.True(!own.Draining) // others read it meanwhile
}
