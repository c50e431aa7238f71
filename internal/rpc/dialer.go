package rpc

import (
	"context"
	"crypto/tls"
	"net"
	"syscall"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcconn"

	"github.com/acacialink/acacialink/internal/sockopt"
)

// Dialer opens drpc connections to other processes.
type Dialer struct {
	tls  *tls.Config
	opts Options
}

// NewDialer returns a dialer. With a nil config it dials without TLS, which
// only tests use.
func NewDialer(config *tls.Config, opts Options) *Dialer {
	return &Dialer{tls: config, opts: opts.withDefaults()}
}

// Dial connects to address, an IP address and port. Options.DialTimeout bounds
// the connection and the TLS handshake together.
func (d *Dialer) Dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, d.opts.DialTimeout)
	defer cancel()
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	setUserTimeout(conn, d.opts)
	if d.tls != nil {
		conn, err = d.handshake(ctx, conn)
		if err != nil {
			return nil, err
		}
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: d.opts.managerOptions()}), nil
}

func (d *Dialer) handshake(ctx context.Context, conn net.Conn) (net.Conn, error) {
	tlsConn := tls.Client(conn, d.tls)
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "tls handshake")
	}
	return tlsConn, nil
}

// setUserTimeout makes the kernel close a TCP connection whose sent bytes stay
// unacknowledged for Options.SilenceTimeout.
func setUserTimeout(conn net.Conn, opts Options) {
	tcpConn, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	rawConn, err := tcpConn.SyscallConn()
	if err != nil {
		return
	}
	_ = sockopt.UserTimeout(opts.SilenceTimeout)("", "", rawConn) // on failure, keep-alive probes detect a silent peer
}
