package node

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/entry"
	"github.com/acacialink/acacialink/internal/observe"
	"github.com/acacialink/acacialink/internal/opsapi"
	"github.com/acacialink/acacialink/internal/suspectapi"
	"github.com/acacialink/acacialink/internal/termination"
)

// callerServer returns the HTTP server for callers. Request headers are limited in size
// and time.
func (e *Entry) callerServer() *http.Server {
	server := &http.Server{
		Handler:           e.callers,
		ReadHeaderTimeout: e.settings.Timeouts.Header.Std(),
		IdleTimeout:       e.settings.Timeouts.Idle.Std(),
		MaxHeaderBytes:    int(e.settings.Limits.HeaderBytes),
		ConnContext:       entry.ConnContext,
	}
	e.callerRequests.Track(server)
	return server
}

// suspectsPath is the path below which operators see and change the parts of prompts that
// are held back. It needs an operator's token.
const suspectsPath = "/v1/suspects"

// operatorServer returns the HTTP server for operators: health, metrics, state dumps and
// the resource API.
func (e *Entry) operatorServer() (*http.Server, error) {
	authenticator, err := observe.NewAuthenticator(authOperators(e.settings.Operators))
	if err != nil {
		return nil, errors.Wrap(err, "operators")
	}
	root, operators := observe.NewOperatorMux(e.registry, authenticator, e)
	operators.PathPrefix(suspectsPath).Handler(suspectapi.Handler(suspectsPath, e.suspects, func(*http.Request) bool { return true }, e.log))
	root.PathPrefix("/v1/").Handler(opsapi.New(opsapi.Options{
		Configuration: e.config,
		Operators:     e.apiOperators(),
		Host:          e.settings.Name,
		MaxWatches:    e.settings.Limits.Watches,
		Logger:        e.log,
	}))
	server := &http.Server{Handler: refuseOnStop(e.operatorReads, root, e.operatorTermination), ReadHeaderTimeout: headerTimeout}
	e.operatorRequests.Track(server)
	return server, nil
}

// apiOperators returns the operators that may use the resource API.
func (e *Entry) apiOperators() []opsapi.Operator {
	operators := make([]opsapi.Operator, 0, len(e.settings.Operators))
	for _, operator := range e.settings.Operators {
		operators = append(operators, opsapi.Operator{Name: operator.Name, TokenSHA256: operator.TokenSHA256})
	}
	return operators
}

// drain starts graceful shutdown. The host becomes not ready, continues to serve during
// the drain notice so that load balancers remove it, and then ends the server.
func (e *Entry) drain(ctx context.Context, callers *http.Server) {
	e.draining.start()
	notice := e.settings.Timeouts.DrainNotice.Std()
	plan := termination.NewDrain(time.Now(), notice+e.settings.Timeouts.Drain.Std())
	e.termination.Begin(plan)
	e.callerRequests.DeliverUntil(plan.Close)
	e.members.AnnounceLeaving(time.Now())
	e.log.Info("drain started")
	backing.Pause(ctx, notice)
	cut, err := e.callerRequests.ShutDown(ctx, callers, e.callerListener, e.termination, plan)
	e.log.Info("drain finished", "requests_left", e.callers.OpenRequests(), "cut", cut, "complete", err == nil && cut == 0, "duration_ms", time.Since(plan.Began).Milliseconds())
}
