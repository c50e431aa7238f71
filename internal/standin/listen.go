// Package standin runs stand-ins for the platform services that acacialink
// depends on. Each stand-in has its own sub-package; a Deployment runs all of
// them on loopback ports of one process.
package standin

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const readHeaderTimeout = 10 * time.Second

// Server is an HTTP server that exposes a stand-in.
type Server struct {
	address string
	server  *http.Server
}

// Listen serves handler on address, an IP address and port, in the background.
// Port 0 selects a free port.
func Listen(address string, handler http.Handler) (*Server, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	s := &Server{
		address: listener.Addr().String(),
		server:  &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout},
	}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// Address returns the bound IP address and port.
func (s *Server) Address() string { return s.address }

// URL returns the base URL, without a trailing slash.
func (s *Server) URL() string { return "http://" + s.address }

// Close closes the listener and all connections without waiting for calls in
// progress.
func (s *Server) Close() error { return s.server.Close() }
