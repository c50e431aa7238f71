package host

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/gateway"
	"github.com/acacialink/acacialink/internal/suspectapi"
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

// newRetryBudget returns this host's part of the budget of retries that all hosts share.
func (h *Host) newRetryBudget() *gateway.RetryBudget {
	s := h.opts.Settings
	slack := gateway.NewRetrySlack(h.startedAt, s.RetrySlack, s.RetryWindow, s.FirstStart)
	return gateway.NewRetryBudget(h.startedAt, s.RetryRatio*gateway.RetryBudgetShare, s.RetryWindow, func() float64 { return slack.At(time.Now(), h.hostCount()) })
}

// newServer returns an HTTP server with the host's limits. It logs its errors, such as panics
// of handlers, as warnings.
func (h *Host) newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(h.opts.Log.Handler(), slog.LevelWarn),
	}
}

// suspectsPath is the path below which operators see and change the segments that are
// held back.
const suspectsPath = "/suspects"

// isLocal reports whether a request comes from the host's own machine.
func isLocal(r *http.Request) bool {
	local, ok := r.Context().Value(http.LocalAddrContextKey).(*net.TCPAddr)
	if !ok {
		return false
	}
	remote, _, err := net.SplitHostPort(r.RemoteAddr)
	return err == nil && local.IP.Equal(net.ParseIP(remote))
}

// operatorHandler serves the counters under /metrics, the segments that are held back
// under suspectsPath, and the readiness check under every other path. Segments are changed
// only from the host's own machine: the address is open to the platform.
func (h *Host) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/metrics", h.opts.Registry.ServeVars)
	suspects := suspectapi.Handler(suspectsPath, h.suspects, isLocal, h.opts.Log)
	mux.Handle(suspectsPath, suspects)
	mux.Handle(suspectsPath+"/", suspects)
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		if !h.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}
