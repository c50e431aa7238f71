package rpc

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcconn"

	"github.com/acacialink/acacialink/internal/rpc/wire"
	"github.com/acacialink/acacialink/internal/verdict"
)

// ErrSilent means that the other side of a session sent nothing in time.
var ErrSilent = errors.New("session is silent")

// Session is the entry's side of a session to one agent.
type Session struct {
	conn    *drpcconn.Conn
	stream  wire.DRPCAgent_SessionClient
	out     *outbox[*wire.EntryMessage]
	opts    Options
	stats   *Stats
	onState func(*wire.AgentState)
	done    chan struct{}
	dog     *watchdog

	mu    sync.Mutex
	calls map[uint64]*Call
	last  uint64
	err   error
}

// OpenSession starts a session on the connection and owns it from then on.
// onState is called for each state that the agent sends, one call at a time.
func OpenSession(conn *drpcconn.Conn, opts Options, stats *Stats, onState func(*wire.AgentState)) (*Session, error) {
	stream, err := wire.NewDRPCAgentClient(conn).Session(context.Background())
	if err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "open session")
	}
	opts = opts.withDefaults()
	s := &Session{
		conn:    conn,
		stream:  stream,
		out:     newOutbox[*wire.EntryMessage](opts.OutboxBytes),
		opts:    opts,
		stats:   stats,
		onState: onState,
		done:    make(chan struct{}),
		calls:   make(map[uint64]*Call),
	}
	s.dog = newWatchdog(opts, func() {
		stats.Silent.Add(1)
		s.end(ErrSilent)
	})
	go s.send()
	go s.receive()
	return s, nil
}

// Done is closed once the session is over and every call has its verdict.
func (s *Session) Done() <-chan struct{} { return s.done }

// Open sends a request. The body of m is set by the caller; stream and
// request id are filled in. An error means that nothing was sent.
func (s *Session) Open(requestID string, m *wire.EntryMessage) (*Call, error) {
	call, err := s.register(requestID)
	if err != nil {
		return nil, err
	}
	m.Stream = call.stream
	m.RequestId = requestID
	if !s.out.put(m, func() { call.sent.Store(true) }) {
		s.forget(call.stream)
		return nil, verdict.New(verdict.NotRun, 503, "session_full", "too much waits for the endpoint's agent")
	}
	return call, nil
}

func (s *Session) register(requestID string) (*Call, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return nil, verdict.Wrap(s.err, verdict.NotRun, 503, "session_closed", "the connection to the endpoint's agent is closed")
	}
	if len(s.calls) >= s.opts.MaxStreams {
		return nil, verdict.New(verdict.NotRun, 503, "session_full", "too many open requests at the endpoint's agent")
	}
	s.last++
	call := &Call{session: s, stream: s.last, requestID: requestID, box: newMailbox(s.opts.MailboxBytes)}
	s.calls[call.stream] = call
	s.dog.setBusy(true)
	return call, nil
}

// forget removes a call and says whether it was open.
func (s *Session) forget(stream uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, open := s.calls[stream]
	delete(s.calls, stream)
	s.dog.setBusy(len(s.calls) > 0)
	return open
}

// Open requests of the session.
func (s *Session) openCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.calls)
}

// Close ends the session; each open call gets its verdict.
func (s *Session) Close() { s.end(errors.New("session closed")) }

func (s *Session) send() {
	ticker := time.NewTicker(s.opts.Heartbeat)
	defer ticker.Stop()
	var beaten time.Time
	for {
		beat := false
		select {
		case <-s.done:
			return
		case <-s.out.wake:
		case <-ticker.C:
			beat = s.openCalls() > 0 || time.Since(beaten) >= s.opts.IdleHeartbeat-s.opts.Heartbeat/2
		}
		group := s.out.take(frameBytes)
		if len(group) == 0 && !beat {
			continue
		}
		if err := s.stream.Send(&wire.EntryFrame{Messages: group}); err != nil {
			s.end(errors.Wrap(err, "send"))
			return
		}
		beaten = time.Now()
	}
}

func (s *Session) receive() {
	defer s.dog.stop()
	for {
		frame, err := s.stream.Recv()
		if err != nil {
			s.end(errors.Wrap(err, "receive"))
			return
		}
		s.dog.frame()
		if frame.State != nil {
			s.onState(frame.State)
		}
		for _, m := range frame.Messages {
			s.deliver(m)
		}
	}
}

func (s *Session) deliver(m *wire.AgentMessage) {
	s.mu.Lock()
	call, ok := s.calls[m.Stream]
	if ok && call.requestID == m.RequestId && ends(m) {
		delete(s.calls, m.Stream)
		s.dog.setBusy(len(s.calls) > 0)
	}
	s.mu.Unlock()
	if !ok {
		s.stats.Late.Add(1)
		return
	}
	if call.requestID != m.RequestId {
		s.stats.Crossed.Add(1)
		return
	}
	if call.box.put(m) {
		return
	}
	s.stats.SlowCallers.Add(1)
	call.cancel()
	call.box.fail(verdict.New(verdict.MayHaveRun, 503, "slow_caller", "the caller reads too slowly"))
}

// ends says whether m is the last message of its answer.
func ends(m *wire.AgentMessage) bool {
	return m.GetTokens() == nil
}

// end closes the session once and gives each open call its verdict: not run
// when no byte of it can have left, may have run otherwise.
func (s *Session) end(cause error) {
	s.mu.Lock()
	if s.err != nil {
		s.mu.Unlock()
		return
	}
	s.err = cause
	calls := s.calls
	s.calls = make(map[uint64]*Call)
	s.mu.Unlock()
	s.out.close()
	_ = s.conn.Close()
	s.stats.Broken.Add(1)
	for _, call := range calls {
		call.box.fail(lostSession(cause, call.sent.Load()))
	}
	close(s.done)
}

func lostSession(cause error, sent bool) error {
	if !sent {
		return verdict.Wrap(cause, verdict.NotRun, 503, "session_lost", "the connection to the endpoint's agent was lost before the request was sent")
	}
	return verdict.Wrap(cause, verdict.MayHaveRun, 502, "session_lost", "the connection to the endpoint's agent was lost")
}
