package main

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// gate is the store as one entry host reaches it, at an address of its own. While it is
// closed the store turns this host away by giving no answer, also to calls that wait.
type gate struct {
	next http.Handler
	addr string

	mu     sync.Mutex
	closed bool
	// configReads receives the time of each read of the configuration.
	configReads chan time.Time
}

func (s *store) newGate() (*gate, error) {
	l, err := listenLoopback()
	if err != nil {
		return nil, err
	}
	g := &gate{next: s.server.Handler, addr: l.Addr().String(), configReads: make(chan time.Time, 1024)}
	server := &http.Server{Handler: g, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	return g, nil
}

func (g *gate) set(closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = closed
}

func (g *gate) isClosed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed
}

// ServeHTTP implements http.Handler.
func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	closed := g.isClosed()
	if strings.HasPrefix(r.RequestURI, "/api/kv-key?key=op%2Fconfig") {
		select {
		case g.configReads <- time.Now():
		default:
		}
	}
	if closed {
		<-r.Context().Done()
		return
	}
	answer := httptest.NewRecorder()
	g.next.ServeHTTP(answer, r)
	if g.isClosed() {
		<-r.Context().Done()
		return
	}
	for name, values := range answer.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}
