package host

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
)

// connectionExpiryInterval is the time between checks for expired connections to
// endpoints.
const connectionExpiryInterval = time.Second

// closeExpiredConnections closes idle connections to endpoints until ctx is done.
func (h *Host) closeExpiredConnections(ctx context.Context) {
	for backing.Pause(ctx, connectionExpiryInterval) {
		h.opts.Ports.Connections.CloseExpired(time.Now())
	}
}

// newServer returns an HTTP server with the host's limits. Its error log goes to the
// debug level.
func (h *Host) newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(h.opts.Log.Handler(), slog.LevelDebug),
	}
}

// shutdownTimeout bounds the wait for requests that came in during the last moments of
// the drain.
const shutdownTimeout = shutdownReserve / 2

// openRequests tracks the connections of a server on which a request is in progress or
// may be arriving. http.Server.Shutdown drops the latter. It is safe for concurrent use.
type openRequests struct {
	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// connState is the server's ConnState hook.
func (o *openRequests) connState(c net.Conn, state http.ConnState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if state != http.StateNew && state != http.StateActive {
		delete(o.conns, c)
		return
	}
	if o.conns == nil {
		o.conns = make(map[net.Conn]struct{})
	}
	o.conns[c] = struct{}{}
}

func (o *openRequests) none() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.conns) == 0
}

// shutDown closes the listener, waits until all requests that were accepted have their
// response, at most for shutdownTimeout, and closes the server.
func shutDown(server *http.Server, l net.Listener, open *openRequests) error {
	_ = l.Close()
	for deadline := time.Now().Add(shutdownTimeout); !open.none() && time.Now().Before(deadline); {
		time.Sleep(drainPollInterval)
	}
	return server.Close()
}

// operatorHandler serves the counters under /metrics and the readiness check under
// every other path.
func (h *Host) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/metrics", h.opts.Registry.ServeVars)
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		if !h.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}
