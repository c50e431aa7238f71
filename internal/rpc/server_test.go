package rpc

import (
	"testing"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// TestServerLimitsConnections opens one session more than MaxConns allows. The
// server must refuse it and accept another one after the first session ends.
func TestServerLimitsConnections(t *testing.T) {
	is := is.New(t)
	address := startAgent(t, &fakeAgent{opts: Options{MaxConns: 1}})
	stats := &Stats{}
	openAndCall := func() (*Session, error) {
		conn, err := NewDialer(nil, Options{}).Dial(t.Context(), address)
		is.NoErr(err)
		s, err := OpenSession(conn, Options{}, stats, func(*wire.AgentState) {})
		if err != nil {
			return nil, err
		}
		t.Cleanup(s.Close)
		call, err := s.Open("r", generateRequest(1))
		if err != nil {
			return s, err
		}
		_, err = collectTokens(t.Context(), call)
		return s, err
	}
	first, err := openAndCall()
	is.NoErr(err)
	_, err = openAndCall()
	is.True(err != nil)
	first.Close()
	for err != nil && t.Context().Err() == nil {
		_, err = openAndCall()
	}
	is.NoErr(err)
}
