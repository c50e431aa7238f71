package node

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/acacialink/acacialink/internal/opsapi"
	"github.com/acacialink/acacialink/internal/termination"
	"github.com/acacialink/acacialink/internal/verdict"
)

// operatorDrainTimeout bounds the wait for operators' requests in progress at graceful
// shutdown. It is longer than a change lasts at most.
const operatorDrainTimeout = 12 * time.Second

// refuseOnStop refuses requests to h once the state is closed. It ends reads, which may be
// watches, with the context.
func refuseOnStop(reads context.Context, h http.Handler, state *termination.State) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if state.Stopping() {
			w.Header().Set("Connection", "close")
		}
		if !state.MayBegin(time.Now(), termination.Work{Arrived: time.Now()}) {
			w.Header().Set(verdict.Header, verdict.NotRun.String())
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusServiceUnavailable)
			_ = json.NewEncoder(w).Encode(opsapi.ErrorBody{Error: opsapi.ErrorDetail{
				Code: "host_ending", Message: "the host is about to end; nothing was changed", Verdict: verdict.NotRun.String(),
			}})
			return
		}
		if r.Method == http.MethodGet {
			ctx, cancel := context.WithCancel(r.Context())
			defer cancel()
			defer context.AfterFunc(reads, cancel)()
			r = r.WithContext(ctx)
		}
		h.ServeHTTP(w, r)
	})
}

// endOperators ends the server for operators. A change needs the loops of the configuration,
// so that they must run until then.
func (e *Entry) endOperators(ctx context.Context, server *http.Server) {
	plan := termination.NewDrain(time.Now(), operatorDrainTimeout)
	e.operatorTermination.Begin(plan)
	e.operatorRequests.DeliverUntil(plan.Close)
	e.endReads()
	cut, err := e.operatorRequests.ShutDown(ctx, server, e.operatorListener, e.operatorTermination, plan)
	e.log.Info("operators' requests ended", "cut", cut, "complete", err == nil && cut == 0)
}
