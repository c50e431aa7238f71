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

// headerTimeout bounds the header of a request on an operators' address.
const headerTimeout = 5 * time.Second

func listen(ctx context.Context, address string) (net.Listener, error) {
	l, err := new(net.ListenConfig).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	return l, nil
}

// serveHTTP serves until ctx ends and then closes all connections.
func serveHTTP(ctx context.Context, server *http.Server, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve http")
}

func operatorsOf(list []settings.Operator) []observe.Operator {
	operators := make([]observe.Operator, 0, len(list))
	for _, o := range list {
		operators = append(operators, observe.Operator{Name: o.Name, TokenSHA256: o.TokenSHA256})
	}
	return operators
}
