package rpc

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// TestIdleSessionSendsFewHeartbeats counts the agent states received. Without
// requests only the first one arrives; with an open request one arrives for
// each heartbeat.
func TestIdleSessionSendsFewHeartbeats(t *testing.T) {
	is := is.New(t)
	opts := Options{HeartbeatInterval: 5 * time.Millisecond, SilenceTimeout: time.Minute, IdleHeartbeatInterval: time.Hour}
	agent := &fakeAgent{opts: opts, release: make(chan struct{})}
	conn, err := NewDialer(nil, opts).Dial(t.Context(), startAgent(t, agent))
	is.NoErr(err)
	var states atomic.Int64
	s, err := OpenSession(conn, opts, &Stats{}, func(*wire.AgentState) { states.Add(1) })
	is.NoErr(err)
	t.Cleanup(s.Close)
	time.Sleep(20 * opts.HeartbeatInterval)
	is.True(states.Load() <= 1)
	call, err := s.Open("r", generateRequest(1))
	is.NoErr(err)
	for states.Load() < 5 && t.Context().Err() == nil {
		time.Sleep(time.Millisecond)
	}
	close(agent.release)
	_, err = collectTokens(t.Context(), call)
	is.NoErr(err)
}
