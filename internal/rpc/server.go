package rpc

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcserver"
)

// Server serves drpc connections over mutual TLS.
type Server struct {
	tls    *tls.Config
	opts   Options
	server *drpcserver.Server
	conns  sync.WaitGroup
	// connSlots holds one element for each open connection; its capacity is
	// Options.MaxConns.
	connSlots chan struct{}
}

// NewServer returns a server for the handler. The config decides which peers
// are accepted. With a nil config it serves without TLS, which only tests use.
func NewServer(handler drpc.Handler, config *tls.Config, opts Options) *Server {
	opts = opts.withDefaults()
	return &Server{
		tls:       config,
		opts:      opts,
		connSlots: make(chan struct{}, opts.MaxConns),
		server:    drpcserver.NewWithOptions(handler, drpcserver.Options{Manager: opts.managerOptions()}),
	}
}

// acceptRetryInterval is the pause after a connection could not be accepted for want of
// descriptors or memory.
const acceptRetryInterval = 100 * time.Millisecond

// outOfResources reports whether an error of Accept ends once the process or its machine
// has descriptors or memory again.
func outOfResources(err error) bool {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// Serve accepts connections until ctx ends, then closes the listener and returns
// nil. It returns only after the listener and every connection are closed.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	defer s.conns.Wait()
	ctx, cancel := context.WithCancel(ctx)
	closed := make(chan struct{})
	context.AfterFunc(ctx, func() {
		defer close(closed)
		_ = listener.Close()
	})
	defer func() {
		cancel()
		<-closed
	}()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			if !outOfResources(err) {
				return errors.Wrap(err, "accept")
			}
			s.opts.Log.Warn("accepting a connection failed", "error", err)
			select {
			case <-time.After(acceptRetryInterval):
			case <-ctx.Done():
			}
			continue
		}
		select {
		case s.connSlots <- struct{}{}:
			s.conns.Go(func() { s.serveConn(ctx, conn) })
		default:
			_ = conn.Close()
		}
	}
}

func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	defer func() {
		_ = conn.Close()
		<-s.connSlots
	}()
	setUserTimeout(conn, s.opts)
	if s.tls != nil {
		tlsConn, err := s.handshake(ctx, conn)
		if err != nil {
			return
		}
		conn = tlsConn
	}
	_ = s.server.ServeOne(withConn(ctx, conn), conn)
}

func (s *Server) handshake(ctx context.Context, conn net.Conn) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.DialTimeout)
	defer cancel()
	tlsConn := tls.Server(conn, s.tls)
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		return nil, errors.Wrap(err, "tls handshake")
	}
	return tlsConn, nil
}

type connKey struct{}

// withConn returns a context that carries conn, so that a handler can close the
// connection that it is served on.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// closeConn closes the connection that ctx carries, if any.
func closeConn(ctx context.Context) {
	if conn, ok := ctx.Value(connKey{}).(net.Conn); ok {
		_ = conn.Close()
	}
}
