// Package standin runs stand-ins for the platform around acacialink, each in
// its own package below, on loopback ports of one process.
package standin

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const readHeaderTimeout = 10 * time.Second

// Server is a listening stand-in.
type Server struct {
	address string
	server  *http.Server
}

// Listen serves the handler at an IP address and port; port 0 takes a free one.
func Listen(address string, handler http.Handler) (*Server, error) {
	var config net.ListenConfig
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	s := &Server{
		address: l.Addr().String(),
		server:  &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout},
	}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// Address returns the bound address and port.
func (s *Server) Address() string { return s.address }

// URL returns the base URL.
func (s *Server) URL() string { return "http://" + s.address }

// Close closes the listener and all connections at once.
func (s *Server) Close() error { return s.server.Close() }
