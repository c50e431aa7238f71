package rpc

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/rpc/wire"
	"github.com/acacialink/acacialink/internal/verdict"
)

// SessionHandler does an agent's work for one session.
type SessionHandler interface {
	// Handle answers one request by r; it returns only after it sent the
	// message that ends the answer. ctx ends when the entry cancels the
	// request or the session is over.
	Handle(ctx context.Context, m *wire.EntryMessage, r *Responder)
	// State returns the state to send with the next heartbeat.
	// Of cache events it holds those with a sequence number above after.
	State(after uint64) *wire.AgentState
	// Changed returns a channel that is closed when State should be sent at once.
	Changed() <-chan struct{}
}

// Responder sends the answer to one request.
type Responder struct {
	out       *outbox[*wire.AgentMessage]
	stream    uint64
	requestID string
}

// Send queues a message of the answer; stream and request id are filled in.
// False means that the session is over or too much waits.
func (r *Responder) Send(m *wire.AgentMessage) bool {
	m.Stream = r.stream
	m.RequestId = r.requestID
	return r.out.put(m, nil)
}

// Fail ends the answer with an error.
func (r *Responder) Fail(err error) {
	e := verdict.As(err)
	r.Send(&wire.AgentMessage{Body: &wire.AgentMessage_Failed{Failed: &wire.Failed{
		Verdict:      uint32(e.Verdict),
		Code:         e.Code,
		Message:      e.Message,
		RetryAfterUs: e.RetryAfter.Microseconds(),
	}}})
}

// Failure returns the error that a Failed message stands for.
func Failure(f *wire.Failed) *verdict.Error {
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

// serving is the agent's side of one session.
type serving struct {
	stream  wire.DRPCAgent_SessionStream
	handler SessionHandler
	opts    Options
	out     *outbox[*wire.AgentMessage]
	work    sync.WaitGroup
	dog     *watchdog

	mu      sync.Mutex
	cancels map[uint64]context.CancelFunc
}

// ServeSession serves one session until it ends. It returns only after all
// of its requests are over.
func ServeSession(stream wire.DRPCAgent_SessionStream, handler SessionHandler, opts Options) error {
	opts = opts.withDefaults()
	s := &serving{
		stream:  stream,
		handler: handler,
		opts:    opts,
		out:     newOutbox[*wire.AgentMessage](opts.OutboxBytes),
		cancels: make(map[uint64]context.CancelFunc),
	}
	s.dog = newWatchdog(opts, func() { closeConn(stream.Context()) })
	defer s.dog.stop()
	ctx, cancel := context.WithCancel(stream.Context())
	defer s.work.Wait()
	defer s.out.close()
	defer cancel()
	s.work.Go(func() { s.send(ctx) })
	return s.receive(ctx)
}

func (s *serving) receive(ctx context.Context) error {
	for {
		frame, err := s.stream.Recv()
		if err != nil {
			return errors.Wrap(err, "receive")
		}
		s.dog.frame()
		for _, m := range frame.Messages {
			s.dispatch(ctx, m)
		}
	}
}

func (s *serving) dispatch(ctx context.Context, m *wire.EntryMessage) {
	if m.GetCancel() != nil {
		s.cancel(m.Stream)
		return
	}
	r := &Responder{out: s.out, stream: m.Stream, requestID: m.RequestId}
	ctx, ok := s.begin(ctx, m.Stream)
	if !ok {
		r.Fail(verdict.New(verdict.NotRun, 503, "agent_full", "too many open requests on this session"))
		return
	}
	s.work.Go(func() {
		defer s.cancel(m.Stream)
		s.handler.Handle(ctx, m, r)
	})
}

func (s *serving) begin(ctx context.Context, stream uint64) (context.Context, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.cancels) >= s.opts.MaxStreams {
		return nil, false
	}
	ctx, cancel := context.WithCancel(ctx)
	s.cancels[stream] = cancel
	s.dog.setBusy(true)
	return ctx, true
}

func (s *serving) cancel(stream uint64) {
	s.mu.Lock()
	cancel := s.cancels[stream]
	delete(s.cancels, stream)
	s.dog.setBusy(len(s.cancels) > 0)
	s.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// openStreams counts the requests of the session.
func (s *serving) openStreams() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.cancels)
}

// send sends answers, and the state with each heartbeat and change.
func (s *serving) send(ctx context.Context) {
	ticker := time.NewTicker(s.opts.Heartbeat)
	defer ticker.Stop()
	due := true
	sent := uint64(0)
	var beaten time.Time
	for {
		changed := s.handler.Changed()
		frame := &wire.AgentFrame{Messages: s.out.take(frameBytes)}
		if due {
			frame.State = s.handler.State(sent)
			sent = lastEvent(frame.State, sent)
			beaten = time.Now()
		}
		if due || len(frame.Messages) > 0 {
			if err := s.stream.Send(frame); err != nil {
				closeConn(s.stream.Context())
				return
			}
		}
		due = false
		select {
		case <-ctx.Done():
			return
		case <-s.out.wake:
		case <-changed:
			due = true
		case <-ticker.C:
			due = s.openStreams() > 0 || time.Since(beaten) >= s.opts.IdleHeartbeat-s.opts.Heartbeat/2
		}
	}
}

// lastEvent is the sequence number of the last cache event that the session
// was sent: a later state does not repeat it.
func lastEvent(state *wire.AgentState, before uint64) uint64 {
	if n := len(state.GetCacheEvents()); n > 0 {
		return state.CacheEvents[n-1].Sequence
	}
	return before
}
