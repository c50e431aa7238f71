package rpc

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// A state makes an endpoint ready for calls, so none may arrive before the link has
// its session.
func TestLinkHasSessionWhenStateArrives(t *testing.T) {
	is := is.New(t)
	address := startAgent(t, &fakeAgent{})
	sessions := make(chan *Session, 16)
	var l *Link
	l = NewLink(address, NewDialer(nil, Options{}), &Stats{}, func(state *wire.AgentState) {
		if state != nil {
			sessions <- l.Session()
		}
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.Run(ctx)
	}()
	is.True(<-sessions != nil)
	cancel()
	<-done
}

func TestSessionReceivesNothingBeforeStart(t *testing.T) {
	is := is.New(t)
	conn, err := NewDialer(nil, Options{}).Dial(t.Context(), startAgent(t, &fakeAgent{}))
	is.NoErr(err)
	states := make(chan *wire.AgentState, 16)
	s, err := prepareSession(conn, Options{}, &Stats{}, func(state *wire.AgentState) { states <- state })
	is.NoErr(err)
	t.Cleanup(s.Close)
	time.Sleep(50 * time.Millisecond) // the agent sends its state at once
	is.Equal(len(states), 0)
	s.start()
	is.Equal((<-states).Endpoint, "fake")
}
