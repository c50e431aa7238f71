package rpc

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// Link keeps a session open to one agent, reconnects when it is lost, and
// stores the last state that the agent sent on it.
type Link struct {
	address string
	dialer  *Dialer
	opts    Options
	stats   *Stats

	mu            sync.Mutex
	session       *Session
	state         *wire.AgentState
	stateReceived time.Time
	onState       func(*wire.AgentState)
}

// NewLink returns a link to the agent at address. onState is called with each
// state that the agent sends, and with nil when a session ends. It may be nil.
func NewLink(address string, dialer *Dialer, stats *Stats, onState func(*wire.AgentState)) *Link {
	return &Link{address: address, dialer: dialer, opts: dialer.opts, stats: stats, onState: onState}
}

// Address returns the agent's address.
func (l *Link) Address() string { return l.address }

// Run keeps a session open until ctx ends. Failed connections are retried with
// exponential backoff.
func (l *Link) Run(ctx context.Context) {
	retryDelay := backoff.NewExponentialBackOff()
	retryDelay.InitialInterval = l.opts.ReconnectMin
	retryDelay.MaxInterval = l.opts.ReconnectMax
	retryDelay.RandomizationFactor = 0.5
	for ctx.Err() == nil {
		if l.runSession(ctx) {
			retryDelay.Reset()
		}
		sleepContext(ctx, retryDelay.NextBackOff())
	}
}

// runSession connects and waits until the session ends. It reports whether the
// agent sent a state.
func (l *Link) runSession(ctx context.Context) bool {
	conn, err := l.dialer.Dial(ctx, l.address)
	if err != nil {
		return false
	}
	session, err := prepareSession(conn, l.opts, l.stats, l.setState)
	if err != nil {
		return false
	}
	// A state tells others that the endpoint can be called, so the session must
	// be known before the first one arrives.
	l.setSession(session)
	session.start()
	select {
	case <-session.Done():
	case <-ctx.Done():
		session.Close()
	}
	return l.clear()
}

func (l *Link) setSession(s *Session) {
	l.mu.Lock()
	l.session = s
	l.mu.Unlock()
}

func (l *Link) setState(state *wire.AgentState) {
	l.mu.Lock()
	l.state = state
	l.stateReceived = time.Now()
	l.mu.Unlock()
	if l.onState != nil {
		l.onState(state)
	}
}

// clear removes the session and the agent state. It reports whether there was a
// state.
func (l *Link) clear() bool {
	l.mu.Lock()
	hadState := l.state != nil
	l.session = nil
	l.state = nil
	l.mu.Unlock()
	if l.onState != nil {
		l.onState(nil)
	}
	return hadState
}

// Session returns the open session, or nil if there is none.
func (l *Link) Session() *Session {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.session
}

// State returns the last state that the agent sent on the open session and its
// time of receipt. The state is nil if there is none.
func (l *Link) State() (*wire.AgentState, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state, l.stateReceived
}

// OpenCalls returns the number of this process's open requests at the agent.
func (l *Link) OpenCalls() int {
	if s := l.Session(); s != nil {
		return s.openCalls()
	}
	return 0
}

func sleepContext(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
