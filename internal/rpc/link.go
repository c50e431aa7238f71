package rpc

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// Link keeps a session to one agent open and remembers the agent's last state.
type Link struct {
	address string
	dialer  *Dialer
	opts    Options
	stats   *Stats

	mu       sync.Mutex
	session  *Session
	state    *wire.AgentState
	received time.Time
	onState  func(*wire.AgentState)
}

// NewLink returns a link to the agent's address. onState is called for each
// state that the agent sends, and with nil when the session is over; it may
// be nil.
func NewLink(address string, dialer *Dialer, stats *Stats, onState func(*wire.AgentState)) *Link {
	return &Link{address: address, dialer: dialer, opts: dialer.opts, stats: stats, onState: onState}
}

// Address returns the agent's address.
func (l *Link) Address() string { return l.address }

// Run keeps the session open until ctx ends.
func (l *Link) Run(ctx context.Context) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = l.opts.ReconnectMin
	wait.MaxInterval = l.opts.ReconnectMax
	wait.RandomizationFactor = 0.5
	for ctx.Err() == nil {
		if l.runOnce(ctx) {
			wait.Reset()
		}
		pause(ctx, wait.NextBackOff())
	}
}

// runOnce connects and waits until the session ends. It says whether the
// agent was heard.
func (l *Link) runOnce(ctx context.Context) bool {
	conn, err := l.dialer.Dial(ctx, l.address)
	if err != nil {
		return false
	}
	session, err := OpenSession(conn, l.opts, l.stats, l.setState)
	if err != nil {
		return false
	}
	l.setSession(session)
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
	l.received = time.Now()
	l.mu.Unlock()
	if l.onState != nil {
		l.onState(state)
	}
}

// clear forgets the session and its state and says whether there was a state.
func (l *Link) clear() bool {
	l.mu.Lock()
	heard := l.state != nil
	l.session = nil
	l.state = nil
	l.mu.Unlock()
	if l.onState != nil {
		l.onState(nil)
	}
	return heard
}

// Session returns the open session, or nil.
func (l *Link) Session() *Session {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.session
}

// State returns the agent's last state on the open session and when it
// arrived; nil when there is none.
func (l *Link) State() (*wire.AgentState, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state, l.received
}

// OpenCalls counts the open requests of this process at the agent.
func (l *Link) OpenCalls() int {
	if s := l.Session(); s != nil {
		return s.openCalls()
	}
	return 0
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
