package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/observe"
	"github.com/acacialink/acacialink/internal/settings"
)

// headerTimeout is the time limit for reading a request header on an operator address.
const headerTimeout = 5 * time.Second

// listen opens a TCP listener.
func listen(ctx context.Context, address string) (net.Listener, error) {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	return listener, nil
}

// serveHTTP serves until ctx ends and then closes all connections. It returns nil if the
// server or the listener was closed.
func serveHTTP(ctx context.Context, server *http.Server, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.Wrap(err, "serve http")
}

// authOperators converts the operators in the settings for authentication.
func authOperators(list []settings.Operator) []observe.Operator {
	operators := make([]observe.Operator, 0, len(list))
	for _, operator := range list {
		operators = append(operators, observe.Operator{Name: operator.Name, TokenSHA256: operator.TokenSHA256})
	}
	return operators
}
