package rpc

import (
	"testing"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// TestConnectionsOfAServerAreBounded opens one more session than the server
// takes; a place is free again once a session ends.
func TestConnectionsOfAServerAreBounded(t *testing.T) {
	is := is.New(t)
	address := startAgent(t, &fakeAgent{opts: Options{MaxConns: 1}})
	stats := &Stats{}
	ask := func() (*Session, error) {
		conn, err := NewDialer(nil, Options{}).Dial(t.Context(), address)
		is.NoErr(err)
		s, err := OpenSession(conn, Options{}, stats, func(*wire.AgentState) {})
		if err != nil {
			return nil, err
		}
		t.Cleanup(s.Close)
		call, err := s.Open("r", generate(1))
		if err != nil {
			return s, err
		}
		_, err = collect(t.Context(), call)
		return s, err
	}
	first, err := ask()
	is.NoErr(err)
	_, err = ask()
	is.True(err != nil)
	first.Close()
	for err != nil && t.Context().Err() == nil {
		_, err = ask()
	}
	is.NoErr(err)
}
