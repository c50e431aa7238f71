package rpc

import (
	"context"
	"crypto/tls"
	"net"
	"sync"

	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcserver"
)

// Server serves drpc connections with mutual TLS.
type Server struct {
	tls    *tls.Config
	opts   Options
	server *drpcserver.Server
	conns  sync.WaitGroup
	// open holds one entry for each connection.
	open chan struct{}
}

// NewServer returns a server for the handler. The config decides which peers
// are served; a nil one means connections without TLS, which only tests use.
func NewServer(handler drpc.Handler, config *tls.Config, opts Options) *Server {
	opts = opts.withDefaults()
	return &Server{
		tls:    config,
		opts:   opts,
		open:   make(chan struct{}, opts.MaxConns),
		server: drpcserver.NewWithOptions(handler, drpcserver.Options{Manager: opts.drpc()}),
	}
}

// Serve accepts connections until ctx ends. It returns only after every
// connection is closed.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	defer s.conns.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accept")
		}
		select {
		case s.open <- struct{}{}:
			s.conns.Go(func() { s.serveConn(ctx, conn) })
		default:
			_ = conn.Close()
		}
	}
}

func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	defer func() {
		_ = conn.Close()
		<-s.open
	}()
	limitSilence(conn, s.opts)
	if s.tls != nil {
		secured, err := s.handshake(ctx, conn)
		if err != nil {
			return
		}
		conn = secured
	}
	_ = s.server.ServeOne(withConn(ctx, conn), conn)
}

func (s *Server) handshake(ctx context.Context, conn net.Conn) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.DialTimeout)
	defer cancel()
	secured := tls.Server(conn, s.tls)
	if err := secured.HandshakeContext(ctx); err != nil {
		return nil, errors.Wrap(err, "tls handshake")
	}
	return secured, nil
}

type connKey struct{}

// withConn lets a handler close the connection that it is served on.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// closeConn closes the connection that ctx is served on.
func closeConn(ctx context.Context) {
	if conn, ok := ctx.Value(connKey{}).(net.Conn); ok {
		_ = conn.Close()
	}
}
