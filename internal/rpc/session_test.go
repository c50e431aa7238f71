package rpc

import (
	"context"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"storj.io/drpc/drpcmux"

	"github.com/acacialink/acacialink/internal/rpc/wire"
	"github.com/acacialink/acacialink/internal/verdict"
)

// fakeAgent answers a generation with the requested number of tokens.
type fakeAgent struct {
	wire.DRPCAgentUnimplementedServer
	opts    Options
	handled chan string
	// release, if not nil, delays answers until it is closed.
	release chan struct{}
	// answerRequestID, if not empty, replaces the request ID of answers.
	answerRequestID string
}

func (f *fakeAgent) Session(stream wire.DRPCAgent_SessionStream) error {
	return ServeSession(stream, f, f.opts)
}

func (f *fakeAgent) State(uint64) *wire.AgentState {
	return &wire.AgentState{Endpoint: "fake", Ready: true}
}

func (f *fakeAgent) Changed() <-chan struct{} { return nil }

func (f *fakeAgent) Handle(ctx context.Context, m *wire.EntryMessage, r *Responder) {
	if f.handled != nil {
		f.handled <- m.RequestId
	}
	if f.release != nil {
		select {
		case <-f.release:
		case <-ctx.Done():
			return
		}
	}
	if f.answerRequestID != "" {
		r.requestID = f.answerRequestID
	}
	for i := range m.GetGenerate().MaxTokens {
		r.Send(&wire.AgentMessage{Body: &wire.AgentMessage_Tokens{Tokens: &wire.Tokens{First: i, Texts: []string{strconv.Itoa(int(i))}}}})
	}
	r.Send(&wire.AgentMessage{Body: &wire.AgentMessage_Finished{Finished: &wire.Finished{Reason: "stop"}}})
}

// startAgent serves the agent on a loopback port until the test ends and returns
// its address.
func startAgent(tb testing.TB, agent wire.DRPCAgentServer) string {
	tb.Helper()
	var opts Options
	if fake, ok := agent.(*fakeAgent); ok {
		opts = fake.opts
	}
	mux := drpcmux.New()
	if err := wire.DRPCRegisterAgent(mux, agent); err != nil {
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
		_ = NewServer(mux, nil, opts).Serve(ctx, listener)
	}()
	tb.Cleanup(func() {
		cancel()
		<-done
	})
	return listener.Addr().String()
}

func openSession(tb testing.TB, address string, opts Options, stats *Stats) *Session {
	tb.Helper()
	conn, err := NewDialer(nil, opts).Dial(tb.Context(), address)
	if err != nil {
		tb.Fatal(err)
	}
	s, err := OpenSession(conn, opts, stats, func(*wire.AgentState) {})
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(s.Close)
	return s
}

func generateRequest(tokens int32) *wire.EntryMessage {
	return &wire.EntryMessage{Body: &wire.EntryMessage_Generate{Generate: &wire.GenerateRequest{MaxTokens: tokens}}}
}

// collectTokens receives an answer to its end and returns the tokens in order.
func collectTokens(ctx context.Context, call *Call) ([]string, error) {
	var texts []string
	for {
		m, err := call.Next(ctx)
		if err != nil {
			return texts, err
		}
		if tokens := m.GetTokens(); tokens != nil {
			texts = append(texts, tokens.Texts...)
			continue
		}
		if failed := m.GetFailed(); failed != nil {
			return texts, ErrorFromFailed(failed)
		}
		return texts, nil
	}
}

func TestSessionMultiplexesRequests(t *testing.T) {
	is := is.New(t)
	s := openSession(t, startAgent(t, &fakeAgent{}), Options{}, &Stats{})
	var wg sync.WaitGroup
	for i := range 50 {
		wg.Go(func() {
			call, err := s.Open("r"+strconv.Itoa(i), generateRequest(int32(i)))
			is.NoErr(err)
			texts, err := collectTokens(t.Context(), call)
			is.NoErr(err)
			is.Equal(len(texts), i)
			for n, text := range texts {
				is.Equal(text, strconv.Itoa(n))
			}
		})
	}
	wg.Wait()
	is.Equal(s.openCalls(), 0)
}

func TestSessionDropsAnswersOfOtherRequests(t *testing.T) {
	is := is.New(t)
	stats := &Stats{}
	s := openSession(t, startAgent(t, &fakeAgent{answerRequestID: "other"}), Options{}, stats)
	call, err := s.Open("mine", generateRequest(3))
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	texts, err := collectTokens(ctx, call)
	is.True(err != nil)
	is.Equal(len(texts), 0)
	is.Equal(stats.Mismatched.Load(), int64(4))
}

func TestClosedSessionReturnsVerdicts(t *testing.T) {
	is := is.New(t)
	agent := &fakeAgent{handled: make(chan string, 1), release: make(chan struct{})}
	s := openSession(t, startAgent(t, agent), Options{}, &Stats{})
	call, err := s.Open("sent", generateRequest(1))
	is.NoErr(err)
	<-agent.handled
	s.Close()
	_, err = collectTokens(t.Context(), call)
	is.Equal(verdict.Of(err), verdict.MayHaveRun)
	_, err = s.Open("after", generateRequest(1))
	is.Equal(verdict.Of(err), verdict.NotRun)
}

func TestUnsentRequestVerdictIsNotRun(t *testing.T) {
	is := is.New(t)
	out := newOutbox[*wire.EntryMessage](DefaultMaxOutboxBytes)
	call := &Call{mailbox: newMailbox(DefaultMaxMailboxBytes)}
	is.True(out.put(generateRequest(1), func() { call.sent.Store(true) }))
	out.close()
	is.Equal(len(out.take(maxFrameBytes)), 0)
	is.Equal(verdict.Of(sessionLostError(ErrSilent, call.sent.Load())), verdict.NotRun)
}

// TestSilentSessionIsClosed freezes the network between the two sides: the
// connection is not reset, but nothing arrives any more. The open request must
// fail with MayHaveRun.
func TestSilentSessionIsClosed(t *testing.T) {
	is := is.New(t)
	opts := Options{HeartbeatInterval: 20 * time.Millisecond, SilenceTimeout: time.Second}
	// The agent's own watchdog must not close the connection first.
	agentOpts := Options{HeartbeatInterval: opts.HeartbeatInterval, SilenceTimeout: time.Minute}
	agent := &fakeAgent{opts: agentOpts, handled: make(chan string, 1), release: make(chan struct{})}
	proxy := newFreezableProxy(t, startAgent(t, agent))
	stats := &Stats{}
	s := openSession(t, proxy.address, opts, stats)
	call, err := s.Open("r", generateRequest(1))
	is.NoErr(err)
	<-agent.handled
	proxy.freeze()
	_, err = collectTokens(t.Context(), call)
	is.Equal(verdict.Of(err), verdict.MayHaveRun)
	is.Equal(stats.Silent.Load(), int64(1))
}

// TestSilentIdleSessionIsClosed freezes the network of a session without open
// requests. If a request is opened afterwards, the session must end after
// SilenceTimeout; otherwise it must end after IdleSilenceTimeout.
func TestSilentIdleSessionIsClosed(t *testing.T) {
	for _, openRequest := range []bool{true, false} {
		is := is.New(t)
		opts := Options{HeartbeatInterval: 20 * time.Millisecond, SilenceTimeout: time.Second, IdleSilenceTimeout: time.Hour}
		if !openRequest {
			opts.SilenceTimeout, opts.IdleSilenceTimeout = time.Hour, 200*time.Millisecond
			opts.IdleHeartbeatInterval = 20 * time.Millisecond
		}
		agentOpts := opts
		agentOpts.IdleSilenceTimeout = time.Hour
		proxy := newFreezableProxy(t, startAgent(t, &fakeAgent{opts: agentOpts}))
		stats := &Stats{}
		s := openSession(t, proxy.address, opts, stats)
		call, err := s.Open("first", generateRequest(1))
		is.NoErr(err)
		_, err = collectTokens(t.Context(), call)
		is.NoErr(err)
		proxy.freeze()
		if openRequest {
			_, err = s.Open("second", generateRequest(1))
			is.NoErr(err)
		}
		<-s.Done()
		is.Equal(stats.Silent.Load(), int64(1))
	}
}

func TestSessionEndsOnlyStreamOfSlowCaller(t *testing.T) {
	is := is.New(t)
	stats := &Stats{}
	opts := Options{MaxMailboxBytes: 1024}
	s := openSession(t, startAgent(t, &fakeAgent{}), opts, stats)
	slow, err := s.Open("slow", generateRequest(1000))
	is.NoErr(err)
	fast, err := s.Open("quick", generateRequest(10))
	is.NoErr(err)
	texts, err := collectTokens(t.Context(), fast)
	is.NoErr(err)
	is.Equal(len(texts), 10)
	for stats.SlowCallers.Load() == 0 && t.Context().Err() == nil {
		time.Sleep(time.Millisecond)
	}
	texts, err = collectTokens(t.Context(), slow)
	is.True(err != nil)
	is.True(len(texts) < 1000)
	is.Equal(stats.SlowCallers.Load(), int64(1))
}
