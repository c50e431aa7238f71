//go:build linux

package node

import (
	"io"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/agent"
	"github.com/acacialink/acacialink/internal/settings"
)

// Guards against an agent that ends while answers are on their way to entry hosts.
func TestDrainWaitsUntilAnswersAreReceived(t *testing.T) {
	is := is.New(t)
	inner, err := listen(t.Context(), "127.0.0.1:0")
	is.NoErr(err)
	l := newDeliveryListener(inner)
	defer l.Close()
	peer, err := net.Dial("tcp4", l.Addr().String()) //nolint:noctx // loopback
	is.NoErr(err)
	defer peer.Close()
	is.NoErr(peer.(*net.TCPConn).SetReadBuffer(4 << 10))
	conn, err := l.Accept()
	is.NoErr(err)
	_, err = conn.Write(make([]byte, 128<<10))
	is.NoErr(err)
	var reading atomic.Bool
	go func() {
		time.Sleep(300 * time.Millisecond)
		reading.Store(true)
		_, _ = io.Copy(io.Discard, peer)
	}()
	a := &Agent{settings: settings.DefaultAgent(), log: slog.New(slog.DiscardHandler), agent: agent.New(agent.Options{LameDuck: time.Millisecond}), listener: l}
	a.drain(t.Context())
	is.True(reading.Load())
	is.NoErr(conn.Close())
	is.Equal(len(l.conns), 0)
}
