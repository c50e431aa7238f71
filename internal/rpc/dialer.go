package rpc

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcconn"

	"github.com/acacialink/acacialink/internal/sockopt"
)

// Dialer opens drpc connections to other processes.
type Dialer struct {
	tls  *tls.Config
	opts Options
}

// NewDialer returns a dialer. A nil config means connections without TLS,
// which only tests use.
func NewDialer(config *tls.Config, opts Options) *Dialer {
	return &Dialer{tls: config, opts: opts.withDefaults()}
}

// Dial connects to an IP address and port.
func (d *Dialer) Dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, d.opts.DialTimeout)
	defer cancel()
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	limitSilence(conn, d.opts)
	if d.tls != nil {
		conn, err = d.handshake(ctx, conn)
		if err != nil {
			return nil, err
		}
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: d.opts.drpc()}), nil
}

func (d *Dialer) handshake(ctx context.Context, conn net.Conn) (net.Conn, error) {
	secured := tls.Client(conn, d.tls)
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "tls handshake")
	}
	return secured, nil
}

// limitSilence lets the kernel close a connection whose sent bytes are not
// acknowledged in time.
func limitSilence(conn net.Conn, opts Options) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = sockopt.UserTimeout(opts.Silence)("", "", raw) // keep-alive probes find silence without it
}
