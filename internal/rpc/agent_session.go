package rpc

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/bodybudget"
	"github.com/acacialink/acacialink/internal/rpc/wire"
	"github.com/acacialink/acacialink/internal/verdict"
)

// SessionHandler handles the requests of one session on the agent.
type SessionHandler interface {
	// Handle answers one request through r. It returns only after it has sent
	// the message that ends the answer. ctx ends when the entry process cancels
	// the request or the session ends.
	Handle(ctx context.Context, m *wire.EntryMessage, r *Responder)
	// State returns the state to send with the next heartbeat. It contains only
	// the cache events with a sequence number greater than after.
	State(after uint64) *wire.AgentState
	// Changed returns a channel that is closed when a changed state should be
	// sent without waiting for the next heartbeat.
	Changed() <-chan struct{}
}

// Responder sends the answer to one request.
type Responder struct {
	out       *outbox[*wire.AgentMessage]
	stream    uint64
	requestID string
	// reservation is what the queued tokens hold of the budget of answers.
	reservation *bodybudget.Reservation
	// canceled reports whether the entry process cancelled the request.
	canceled atomic.Bool
}

// Send queues a message of the answer and sets its stream number and request ID.
// It returns false when the session is over, its outbox is full (which does not refuse the
// end of an answer), or the endpoint's part
// of the budget of answers is exhausted, and for tokens of a request that is cancelled.
func (r *Responder) Send(m *wire.AgentMessage) bool {
	m.Stream = r.stream
	m.RequestId = r.requestID
	switch {
	case m.GetFinished() != nil, m.GetPulled() != nil:
		return r.out.putEnd(m)
	case m.GetTokens() == nil:
		return r.out.put(m, nil)
	}
	return !r.canceled.Load() && r.out.putHeld(m, r.reservation, &r.canceled)
}

// AfterSent calls notify once all queued messages of the answer have been written
// to the connection, or the session is over. notify must not block.
func (r *Responder) AfterSent(notify func()) { r.out.afterSent(notify) }

// Fail ends the answer with an error.
func (r *Responder) Fail(err error) { r.FailEnded(err, time.Time{}) }

// FailEnded is Fail for an engine that ended at a time; zero if it has not.
func (r *Responder) FailEnded(err error, ended time.Time) {
	failure := verdict.As(err)
	endedMS := int64(0)
	if !ended.IsZero() {
		endedMS = ended.UnixMilli()
	}
	_ = r.out.putEnd(&wire.AgentMessage{Stream: r.stream, RequestId: r.requestID, Body: &wire.AgentMessage_Failed{Failed: &wire.Failed{
		Verdict:       uint32(failure.Verdict),
		Code:          failure.Code,
		Message:       failure.Message,
		RetryAfterUs:  failure.RetryAfter.Microseconds(),
		EngineEndedMs: endedMS,
	}}})
}

// ErrorFromFailed converts a Failed message to the error that it describes.
func ErrorFromFailed(f *wire.Failed) *verdict.Error {
	status := 502
	v := verdict.Verdict(f.Verdict)
	if v == verdict.NotRun {
		status = 503
	}
	return &verdict.Error{
		Verdict:    v,
		Status:     status,
		Code:       f.Code,
		Message:    f.Message,
		RetryAfter: time.Duration(f.RetryAfterUs) * time.Microsecond,
	}
}

// openRequest is a request whose handler runs.
type openRequest struct {
	cancel    context.CancelFunc
	responder *Responder
}

// agentSession is the agent's side of one session.
type agentSession struct {
	stream     wire.DRPCAgent_SessionStream
	handler    SessionHandler
	opts       Options
	out        *outbox[*wire.AgentMessage]
	goroutines sync.WaitGroup
	watchdog   *watchdog

	mu       sync.Mutex
	requests map[uint64]openRequest
	// unsent are the responders of requests whose handler has returned and whose answer
	// is still queued.
	unsent map[uint64]*Responder
}

// ServeSession serves one session on the agent until it ends. It returns only
// after all of its requests have ended.
func ServeSession(stream wire.DRPCAgent_SessionStream, handler SessionHandler, opts Options) error {
	opts = opts.withDefaults()
	s := &agentSession{
		stream:   stream,
		handler:  handler,
		opts:     opts,
		out:      newOutbox[*wire.AgentMessage](opts.MaxOutboxBytes),
		requests: make(map[uint64]openRequest),
		unsent:   make(map[uint64]*Responder),
	}
	s.watchdog = newWatchdog(opts, func() { closeConn(stream.Context()) })
	defer s.watchdog.stop()
	ctx, cancel := context.WithCancel(stream.Context())
	defer s.goroutines.Wait()
	defer s.out.close()
	defer cancel()
	s.goroutines.Go(func() { s.send(ctx) })
	return s.receive(ctx)
}

func (s *agentSession) receive(ctx context.Context) error {
	for {
		frame, err := s.stream.Recv()
		if err != nil {
			return errors.Wrap(err, "receive")
		}
		s.watchdog.frameReceived()
		for _, m := range frame.Messages {
			s.dispatch(ctx, m)
		}
	}
}

func (s *agentSession) dispatch(ctx context.Context, m *wire.EntryMessage) {
	if m.GetCancel() != nil {
		s.cancelRequest(m.Stream)
		return
	}
	r := &Responder{out: s.out, stream: m.Stream, requestID: m.RequestId, reservation: s.opts.Answers.NewReservation(s.opts.Sender)}
	ctx, ok := s.register(ctx, m.Stream, r)
	if !ok {
		r.Fail(verdict.New(verdict.NotRun, 503, "agent_full", "too many open requests on this session"))
		return
	}
	s.goroutines.Go(func() {
		defer s.handled(r)
		s.handler.Handle(ctx, m, r)
	})
}

func (s *agentSession) register(ctx context.Context, stream uint64, r *Responder) (context.Context, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.requests) >= s.opts.MaxStreams {
		return nil, false
	}
	ctx, cancel := context.WithCancel(ctx)
	s.requests[stream] = openRequest{cancel: cancel, responder: r}
	s.watchdog.setBusy(true)
	return ctx, true
}

// cancelRequest ends the context of a request, if its handler runs, and drops the tokens
// of its answer that are queued.
func (s *agentSession) cancelRequest(stream uint64) {
	s.mu.Lock()
	r := s.unsent[stream]
	if request, open := s.requests[stream]; open {
		r = request.responder
		s.removeRequest(stream)
		defer request.cancel()
	}
	s.mu.Unlock()
	if r != nil {
		r.canceled.Store(true)
	}
}

// handled ends a request whose handler has returned.
func (s *agentSession) handled(r *Responder) {
	s.mu.Lock()
	if request, open := s.requests[r.stream]; open {
		s.removeRequest(r.stream)
		s.unsent[r.stream] = r
		defer request.cancel()
	}
	s.mu.Unlock()
	r.AfterSent(func() {
		r.reservation.Release()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.unsent, r.stream)
	})
}

// removeRequest removes a request whose handler runs. The caller holds mu.
func (s *agentSession) removeRequest(stream uint64) {
	delete(s.requests, stream)
	s.watchdog.setBusy(len(s.requests) > 0)
}

// openRequests returns the number of open requests of the session.
func (s *agentSession) openRequests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests)
}

// send writes queued answers to the stream. It adds the agent state to each
// heartbeat and after each change of the state.
func (s *agentSession) send(ctx context.Context) {
	ticker := time.NewTicker(s.opts.HeartbeatInterval)
	defer ticker.Stop()
	stateDue := true
	lastSequence := uint64(0)
	var stateSentAt time.Time
	for {
		changed := s.handler.Changed()
		frame := &wire.AgentFrame{Messages: s.out.take(maxFrameBytes)}
		if stateDue {
			frame.State = s.handler.State(lastSequence)
			lastSequence = lastEventSequence(frame.State, lastSequence)
			stateSentAt = time.Now()
		}
		if stateDue || len(frame.Messages) > 0 {
			if err := s.stream.Send(frame); err != nil {
				closeConn(s.stream.Context())
				return
			}
		}
		s.out.markSent()
		stateDue = false
		select {
		case <-ctx.Done():
			return
		case <-s.out.wake:
		case <-changed:
			stateDue = true
		case <-ticker.C:
			stateDue = s.openRequests() > 0 || time.Since(stateSentAt) >= s.opts.IdleHeartbeatInterval-s.opts.HeartbeatInterval/2
		}
	}
}

// lastEventSequence returns the sequence number of the last cache event in
// state, or before if it has none. Later states carry only newer events.
func lastEventSequence(state *wire.AgentState, before uint64) uint64 {
	if n := len(state.GetCacheEvents()); n > 0 {
		return state.CacheEvents[n-1].Sequence
	}
	return before
}
