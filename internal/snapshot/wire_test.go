package snapshot

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"storj.io/drpc/drpcmux"

	"github.com/acacialink/acacialink/internal/certs"
	"github.com/acacialink/acacialink/internal/rpc"
	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// countingListener counts the bytes received and sent on its connections.
type countingListener struct {
	net.Listener
	receivedBytes, sentBytes atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &countingConn{Conn: conn, listener: l}, err
}

type countingConn struct {
	net.Conn
	listener *countingListener
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.listener.receivedBytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.listener.sentBytes.Add(int64(n))
	return n, err
}

// peerService serves exchanges with one replica.
type peerService struct{ replica *Replica }

func (s peerService) Exchange(_ context.Context, m *wire.PeerMessage) (*wire.PeerMessage, error) {
	return &wire.PeerMessage{From: "entry-host-0017", Incarnation: "4fe506d4b09a657ddb591e155657b944", Config: s.replica.HandleExchange(m.Config)}, nil
}

func newEntryCredentials(b *testing.B, a *certs.Authority, name string) *certs.Credentials {
	pair, err := a.Issue(certs.RoleEntry, name, net.IPv4(127, 0, 0, 1))
	if err != nil {
		b.Fatal(err)
	}
	m, err := certs.NewCredentials(a.CertPEM(), pair)
	if err != nil {
		b.Fatal(err)
	}
	return m
}

// BenchmarkExchangeOnTheWire measures confirmations by a peer over one TLS
// connection and reports the bytes above TCP in each direction.
func BenchmarkExchangeOnTheWire(b *testing.B) {
	authority, err := certs.NewAuthority()
	if err != nil {
		b.Fatal(err)
	}
	replica := NewReplica(ReplicaOptions{Host: "entry-host-0017"})
	mux := drpcmux.New()
	if err := wire.DRPCRegisterPeer(mux, peerService{replica}); err != nil {
		b.Fatal(err)
	}
	inner, err := (&net.ListenConfig{}).Listen(b.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	listener := &countingListener{Listener: inner}
	server := rpc.NewServer(mux, certs.ServerTLS(newEntryCredentials(b, authority, "entry-host-0017"), certs.RoleEntry), rpc.Options{})
	go func() { _ = server.Serve(b.Context(), listener) }()
	pool := rpc.NewPool(rpc.NewDialer(certs.ClientTLS(newEntryCredentials(b, authority, "entry-host-0003"), certs.RoleEntry, ""), rpc.Options{}), 1)
	defer pool.Close()
	request := &wire.PeerMessage{
		From:   "entry-host-0003",
		Config: &wire.ConfigPart{Revision: 123456, FreshAgeUs: -1, WantAfter: 123456},
	}
	exchange := func() {
		replica.confirm(replica.options.Clock.now().minus(700*time.Millisecond), 0)
		if _, err := pool.Exchange(b.Context(), inner.Addr().String(), request); err != nil {
			b.Fatal(err)
		}
	}
	exchange() // The handshake is not counted.
	received, sent, n := listener.receivedBytes.Load(), listener.sentBytes.Load(), 0
	for b.Loop() {
		exchange()
		n++
	}
	b.ReportMetric(float64(listener.receivedBytes.Load()-received)/float64(n), "question-bytes")
	b.ReportMetric(float64(listener.sentBytes.Load()-sent)/float64(n), "answer-bytes")
}
