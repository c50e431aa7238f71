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

// fakeAgent answers a generation with as many tokens as it asks for.
type fakeAgent struct {
	wire.DRPCAgentUnimplementedServer
	opts    Options
	handled chan string
	// hold, when not nil, delays answers until it is closed.
	hold chan struct{}
	// answerAs, when set, replaces the request id of answers.
	answerAs string
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
	if f.hold != nil {
		select {
		case <-f.hold:
		case <-ctx.Done():
			return
		}
	}
	if f.answerAs != "" {
		r.requestID = f.answerAs
	}
	for i := range m.GetGenerate().MaxTokens {
		r.Send(&wire.AgentMessage{Body: &wire.AgentMessage_Tokens{Tokens: &wire.Tokens{First: i, Texts: []string{strconv.Itoa(int(i))}}}})
	}
	r.Send(&wire.AgentMessage{Body: &wire.AgentMessage_Finished{Finished: &wire.Finished{Reason: "stop"}}})
}

// startAgent serves the agent on loopback until the test ends.
func startAgent(tb testing.TB, agent *fakeAgent) string {
	tb.Helper()
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
		_ = NewServer(mux, nil, agent.opts).Serve(ctx, listener)
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

func generate(tokens int32) *wire.EntryMessage {
	return &wire.EntryMessage{Body: &wire.EntryMessage_Generate{Generate: &wire.GenerateRequest{MaxTokens: tokens}}}
}

// collect reads an answer to its end and returns its tokens in order.
func collect(ctx context.Context, call *Call) ([]string, error) {
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
			return texts, Failure(failed)
		}
		return texts, nil
	}
}

func TestManyRequestsShareASession(t *testing.T) {
	is := is.New(t)
	s := openSession(t, startAgent(t, &fakeAgent{}), Options{}, &Stats{})
	var wg sync.WaitGroup
	for i := range 50 {
		wg.Go(func() {
			call, err := s.Open("r"+strconv.Itoa(i), generate(int32(i)))
			is.NoErr(err)
			texts, err := collect(t.Context(), call)
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

func TestCrossedAnswerIsDropped(t *testing.T) {
	is := is.New(t)
	stats := &Stats{}
	s := openSession(t, startAgent(t, &fakeAgent{answerAs: "other"}), Options{}, stats)
	call, err := s.Open("mine", generate(3))
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	texts, err := collect(ctx, call)
	is.True(err != nil)
	is.Equal(len(texts), 0)
	is.Equal(stats.Crossed.Load(), int64(4))
}

func TestLostSessionGivesVerdicts(t *testing.T) {
	is := is.New(t)
	agent := &fakeAgent{handled: make(chan string, 1), hold: make(chan struct{})}
	s := openSession(t, startAgent(t, agent), Options{}, &Stats{})
	call, err := s.Open("sent", generate(1))
	is.NoErr(err)
	<-agent.handled
	s.Close()
	_, err = collect(t.Context(), call)
	is.Equal(verdict.Of(err), verdict.MayHaveRun)
	_, err = s.Open("after", generate(1))
	is.Equal(verdict.Of(err), verdict.NotRun)
}

func TestUnsentRequestIsNotRun(t *testing.T) {
	is := is.New(t)
	box := newOutbox[*wire.EntryMessage](DefaultOutboxBytes)
	call := &Call{box: newMailbox(DefaultMailboxBytes)}
	is.True(box.put(generate(1), func() { call.sent.Store(true) }))
	box.close()
	is.Equal(len(box.take(frameBytes)), 0)
	is.Equal(verdict.Of(lostSession(ErrSilent, call.sent.Load())), verdict.NotRun)
}

// TestSilentSessionEnds freezes the path between the two sides: nothing is
// reset, but nothing arrives any more.
func TestSilentSessionEnds(t *testing.T) {
	is := is.New(t)
	opts := Options{Heartbeat: 20 * time.Millisecond, Silence: time.Second}
	// The agent's own watchdog must not close the path first.
	patient := Options{Heartbeat: opts.Heartbeat, Silence: time.Minute}
	agent := &fakeAgent{opts: patient, handled: make(chan string, 1), hold: make(chan struct{})}
	path := newFrozenPath(t, startAgent(t, agent))
	stats := &Stats{}
	s := openSession(t, path.address, opts, stats)
	call, err := s.Open("r", generate(1))
	is.NoErr(err)
	<-agent.handled
	path.freeze()
	_, err = collect(t.Context(), call)
	is.Equal(verdict.Of(err), verdict.MayHaveRun)
	is.Equal(stats.Silent.Load(), int64(1))
}

// TestSilentIdleSessionEndsOnceUsed freezes the path of a session without
// requests. A request makes it end as fast as one that was open before; with
// none it ends after the silence of idle sessions.
func TestSilentIdleSessionEndsOnceUsed(t *testing.T) {
	for _, used := range []bool{true, false} {
		is := is.New(t)
		opts := Options{Heartbeat: 20 * time.Millisecond, Silence: time.Second, IdleSilence: time.Hour}
		if !used {
			opts.Silence, opts.IdleSilence = time.Hour, 200*time.Millisecond
			opts.IdleHeartbeat = 20 * time.Millisecond
		}
		agentOpts := opts
		agentOpts.IdleSilence = time.Hour
		path := newFrozenPath(t, startAgent(t, &fakeAgent{opts: agentOpts}))
		stats := &Stats{}
		s := openSession(t, path.address, opts, stats)
		call, err := s.Open("first", generate(1))
		is.NoErr(err)
		_, err = collect(t.Context(), call)
		is.NoErr(err)
		path.freeze()
		if used {
			_, err = s.Open("second", generate(1))
			is.NoErr(err)
		}
		<-s.Done()
		is.Equal(stats.Silent.Load(), int64(1))
	}
}

func TestSlowCallerLosesOnlyItsOwnStream(t *testing.T) {
	is := is.New(t)
	stats := &Stats{}
	opts := Options{MailboxBytes: 1024}
	s := openSession(t, startAgent(t, &fakeAgent{}), opts, stats)
	slow, err := s.Open("slow", generate(1000))
	is.NoErr(err)
	quick, err := s.Open("quick", generate(10))
	is.NoErr(err)
	texts, err := collect(t.Context(), quick)
	is.NoErr(err)
	is.Equal(len(texts), 10)
	for stats.SlowCallers.Load() == 0 && t.Context().Err() == nil {
		time.Sleep(time.Millisecond)
	}
	texts, err = collect(t.Context(), slow)
	is.True(err != nil)
	is.True(len(texts) < 1000)
	is.Equal(stats.SlowCallers.Load(), int64(1))
}
