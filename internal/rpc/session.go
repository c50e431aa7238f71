package rpc

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcconn"

	"github.com/acacialink/acacialink/internal/bodybudget"
	"github.com/acacialink/acacialink/internal/rpc/wire"
	"github.com/acacialink/acacialink/internal/verdict"
)

// callBytes is what an open call holds of the budget of answers at least, so that no request
// is sent whose answer could not be held.
const callBytes = 4 << 10

// ErrSilent is the cause of the end of a session on which nothing arrived within
// the silence limit.
var ErrSilent = errors.New("no frame arrived within the silence limit")

// Session is the entry process's side of a session with one agent. It is safe
// for concurrent use.
type Session struct {
	conn     *drpcconn.Conn
	stream   wire.DRPCAgent_SessionClient
	out      *outbox[*wire.EntryMessage]
	opts     Options
	stats    *Stats
	onState  func(*wire.AgentState)
	done     chan struct{}
	watchdog *watchdog

	mu         sync.Mutex
	calls      map[uint64]*Call
	lastStream uint64
	err        error
}

// OpenSession starts a session on conn and takes ownership of it. onState is
// called with each state that the agent sends, never concurrently, and possibly
// before OpenSession returns.
func OpenSession(conn *drpcconn.Conn, opts Options, stats *Stats, onState func(*wire.AgentState)) (*Session, error) {
	s, err := prepareSession(conn, opts, stats, onState)
	if err != nil {
		return nil, err
	}
	s.start()
	return s, nil
}

// prepareSession is OpenSession for a caller that must know the session before its
// first state is delivered: nothing is sent or received until start.
func prepareSession(conn *drpcconn.Conn, opts Options, stats *Stats, onState func(*wire.AgentState)) (*Session, error) {
	stream, err := wire.NewDRPCAgentClient(conn).Session(context.Background())
	if err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "open session")
	}
	opts = opts.withDefaults()
	s := &Session{
		conn:    conn,
		stream:  stream,
		out:     newOutbox[*wire.EntryMessage](opts.MaxOutboxBytes),
		opts:    opts,
		stats:   stats,
		onState: onState,
		done:    make(chan struct{}),
		calls:   make(map[uint64]*Call),
	}
	s.watchdog = newWatchdog(opts, func() {
		stats.Silent.Add(1)
		s.end(ErrSilent)
	})
	return s, nil
}

// start begins to send and receive.
func (s *Session) start() {
	go s.send()
	go s.receive()
}

// Done returns a channel that is closed once the session has ended and every
// open call has received its verdict.
func (s *Session) Done() <-chan struct{} { return s.done }

// Open queues a request for sending. The caller sets the body of m; Open sets its
// stream number and request ID. On an error nothing was sent.
func (s *Session) Open(requestID string, m *wire.EntryMessage) (*Call, error) {
	call, err := s.register(requestID)
	if err != nil {
		return nil, err
	}
	m.Stream = call.stream
	m.RequestId = requestID
	if !s.out.put(m, func() { call.sent.Store(true) }) {
		s.removeCall(call.stream)
		call.reservation.Release()
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
	reservation := s.opts.Answers.NewReservation(s.opts.Sender)
	if reservation.Grow(callBytes) != nil {
		return nil, verdict.Wrap(bodybudget.ErrExhausted, verdict.NotRun, 503, "session_full", "the endpoint's answers take the memory that they may")
	}
	s.lastStream++
	call := &Call{
		session: s, stream: s.lastStream, requestID: requestID,
		mailbox: newMailbox(s.opts.MaxMailboxBytes), reservation: reservation,
	}
	s.calls[call.stream] = call
	s.watchdog.setBusy(true)
	return call, nil
}

// removeCall removes the call with the stream number and reports whether it was
// open.
func (s *Session) removeCall(stream uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, open := s.calls[stream]
	delete(s.calls, stream)
	s.watchdog.setBusy(len(s.calls) > 0)
	return open
}

// openCalls returns the number of open requests of the session.
func (s *Session) openCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.calls)
}

// Close ends the session. Each open call fails with its verdict.
func (s *Session) Close() { s.end(errors.New("session closed")) }

func (s *Session) send() {
	ticker := time.NewTicker(s.opts.HeartbeatInterval)
	defer ticker.Stop()
	var lastSent time.Time
	for {
		heartbeatDue := false
		select {
		case <-s.done:
			return
		case <-s.out.wake:
		case <-ticker.C:
			heartbeatDue = s.openCalls() > 0 || time.Since(lastSent) >= s.opts.IdleHeartbeatInterval-s.opts.HeartbeatInterval/2
		}
		batch := s.out.take(maxFrameBytes)
		if len(batch) == 0 && !heartbeatDue {
			continue
		}
		if err := s.stream.Send(&wire.EntryFrame{Messages: batch}); err != nil {
			s.end(errors.Wrap(err, "send"))
			return
		}
		lastSent = time.Now()
	}
}

func (s *Session) receive() {
	defer s.watchdog.stop()
	decoder := frameDecoder{wanted: s.wants}
	for {
		frame := new(wire.AgentFrame)
		if err := s.stream.MsgRecv(frame, decoder); err != nil {
			s.end(errors.Wrap(err, "receive"))
			return
		}
		s.watchdog.frameReceived()
		if frame.State != nil {
			s.onState(frame.State)
		}
		for _, m := range frame.Messages {
			s.dispatch(m)
		}
	}
}

// wants reports whether the call of the stream is open, and counts a message as late if
// it is not.
func (s *Session) wants(stream uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, open := s.calls[stream]
	if !open {
		s.stats.Late.Add(1)
	}
	return open
}

func (s *Session) dispatch(m *wire.AgentMessage) {
	s.mu.Lock()
	call, ok := s.calls[m.Stream]
	if ok && call.requestID == m.RequestId && endsAnswer(m) {
		delete(s.calls, m.Stream)
		s.watchdog.setBusy(len(s.calls) > 0)
	}
	s.mu.Unlock()
	if !ok {
		s.stats.Late.Add(1)
		return
	}
	if call.requestID != m.RequestId {
		s.stats.Mismatched.Add(1)
		return
	}
	if call.reservation.Grow(answerBytes(m)) != nil {
		s.stats.AnswersCut.Add(1)
		call.abort()
		call.mailbox.fail(verdict.Wrap(bodybudget.ErrExhausted, verdict.MayHaveRun, 502, "answers_full", "the endpoint's answers take more memory than they may"))
		return
	}
	if call.mailbox.put(m) {
		return
	}
	s.stats.SlowCallers.Add(1)
	call.abort()
	call.mailbox.fail(verdict.New(verdict.MayHaveRun, 503, "slow_caller", "the caller reads too slowly"))
}

// endsAnswer reports whether m is the last message of its answer.
func endsAnswer(m *wire.AgentMessage) bool {
	return m.GetTokens() == nil
}

// end closes the session and fails each open call with its verdict: NotRun if no
// byte of the request can have left this process, MayHaveRun otherwise. Only the
// first call has an effect.
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
	s.stats.Ended.Add(1)
	for _, call := range calls {
		call.mailbox.fail(sessionLostError(cause, call.sent.Load()))
	}
	close(s.done)
}

func sessionLostError(cause error, sent bool) error {
	if !sent {
		return verdict.Wrap(cause, verdict.NotRun, 503, "session_lost", "the connection to the endpoint's agent was lost before the request was sent")
	}
	return verdict.Wrap(cause, verdict.MayHaveRun, 502, "session_lost", "the connection to the endpoint's agent was lost")
}
