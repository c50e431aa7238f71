package backing

import (
	"context"
	"net"
	"net/url"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// ErrEnded reports that no process accepts connections at an address.
var ErrEnded = errors.New("no process accepts connections")

// probe opens a connection and sends nothing. It returns ErrEnded if the process has ended.
func (c Caller) probe(ctx context.Context) error {
	base, err := url.Parse(c.base)
	if err != nil {
		return errors.Wrap(ErrRejected, err.Error())
	}
	address := base.Host
	if base.Port() == "" {
		address = net.JoinHostPort(base.Hostname(), base.Scheme)
	}
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return ErrEnded
	}
	if err != nil {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	return errors.Wrap(conn.Close(), "probe")
}

// endProbeTimeout bounds the wait for the answer whether a process still runs.
const endProbeTimeout = 150 * time.Millisecond

// ended reports whether the process has ended.
func (c Caller) ended(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, endProbeTimeout)
	defer cancel()
	return errors.Is(c.probe(ctx), ErrEnded)
}
