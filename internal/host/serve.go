package host

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
)

// sweepEvery is the time between closings of idle connections to endpoints.
const sweepEvery = time.Second

func (h *Host) sweep(ctx context.Context) {
	for backing.Pause(ctx, sweepEvery) {
		h.o.Ports.Connections.Sweep(time.Now())
	}
}

func (h *Host) server(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes,
		ErrorLog: slog.NewLogLogger(h.o.Log.Handler(), slog.LevelDebug),
	}
}

// operators answers readiness and, under /metrics, the counters.
func (h *Host) operators() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/metrics", h.o.Registry.ServeVars)
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		if !h.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}
