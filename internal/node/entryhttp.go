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
)

// callerServer serves callers. It bounds headers in size and time.
func (e *Entry) callerServer() *http.Server {
	return &http.Server{
		Handler:           e.callers,
		ReadHeaderTimeout: e.settings.Timeouts.Header.Std(),
		IdleTimeout:       e.settings.Timeouts.Idle.Std(),
		MaxHeaderBytes:    int(e.settings.Limits.HeaderBytes),
		ConnContext:       entry.ConnContext,
	}
}

// operatorServer serves operators: health, metrics, dumps and the resource API.
func (e *Entry) operatorServer() (*http.Server, error) {
	authenticator, err := observe.NewAuthenticator(operatorsOf(e.settings.Operators))
	if err != nil {
		return nil, errors.Wrap(err, "operators")
	}
	root, _ := observe.NewOperatorMux(e.registry, authenticator, e)
	root.PathPrefix("/v1/").Handler(opsapi.New(opsapi.Options{
		Configuration: e.config,
		Operators:     e.apiOperators(),
		Host:          e.settings.Name,
		Watches:       e.settings.Limits.Watches,
		Logger:        e.log,
	}))
	return &http.Server{Handler: root, ReadHeaderTimeout: headerTimeout}, nil
}

func (e *Entry) apiOperators() []opsapi.Operator {
	operators := make([]opsapi.Operator, 0, len(e.settings.Operators))
	for _, o := range e.settings.Operators {
		operators = append(operators, opsapi.Operator{Name: o.Name, TokenSHA256: o.TokenSHA256})
	}
	return operators
}

// drain makes a planned stop: the host says that it is not ready, goes on
// serving while the balancer takes notice, and then lets running requests end.
// Connections are kept until then, since a request may be on its way.
func (e *Entry) drain(ctx context.Context, callers *http.Server) {
	e.draining.begin()
	e.members.Leave(time.Now())
	e.log.Info("drain began")
	begun := time.Now()
	backing.Pause(ctx, e.settings.Timeouts.DrainNotice.Std())
	callers.SetKeepAlivesEnabled(false)
	ctx, cancel := context.WithTimeout(ctx, e.settings.Timeouts.Drain.Std())
	defer cancel()
	err := callers.Shutdown(ctx)
	e.log.Info("drain ended", "requests_left", e.callers.Open(), "complete", err == nil, "duration_ms", time.Since(begun).Milliseconds())
}
