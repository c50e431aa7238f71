package peer

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcserver"
)

// The RPCs between entry hosts. Request and response of an exchange are each a Snapshot.
const (
	exchangeCall = "/acacialink.Peer/Exchange"
	reserveCall  = "/acacialink.Peer/Reserve"
)

const (
	// dialTimeout bounds dialing a peer.
	dialTimeout = 500 * time.Millisecond
	// callTimeout bounds one exchange. A connection on which an exchange times
	// out is closed, and the next exchange dials again.
	callTimeout = 400 * time.Millisecond
)

// handler serves the RPCs.
type handler struct {
	exchange func(*Snapshot) *Snapshot
	reserve  func(*ReserveRequest) *ReserveResponse
}

// HandleRPC implements drpc.Handler. A panic ends only the call.
func (h handler) HandleRPC(stream drpc.Stream, rpc string) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = errors.Errorf("panic in call %q: %v", rpc, p)
		}
	}()
	switch rpc {
	case exchangeCall:
		return handle(stream, h.exchange)
	case reserveCall:
		return handle(stream, h.reserve)
	default:
		return errors.Errorf("unknown call %q", rpc)
	}
}

// handle serves one call.
func handle[In, Out any](stream drpc.Stream, answer func(*In) *Out) error {
	var in In
	if err := stream.MsgRecv(&in, encoding{}); err != nil {
		return errors.Wrap(err, "receive the request")
	}
	if err := stream.MsgSend(answer(&in), encoding{}); err != nil {
		return errors.Wrap(err, "send the response")
	}
	return stream.CloseSend()
}

// serve serves the RPCs on the listener until ctx is done.
func serve(ctx context.Context, l net.Listener, h handler) error {
	return drpcserver.New(h).Serve(ctx, l)
}

// client makes calls to one peer. It dials on demand and is not safe for
// concurrent use.
type client struct {
	address string
	conn    *drpcconn.Conn // nil while not connected
}

// exchange sends a snapshot and returns the peer's. It closes the connection on
// error.
func (c *client) exchange(ctx context.Context, out *Snapshot) (*Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var in Snapshot
	if err := c.invoke(ctx, exchangeCall, out, &in); err != nil {
		return nil, err
	}
	return &in, nil
}

// invoke makes one call. It closes the connection on error.
func (c *client) invoke(ctx context.Context, rpc string, request, response any) error {
	if c.conn == nil {
		dialer := net.Dialer{Timeout: dialTimeout}
		conn, err := dialer.DialContext(ctx, "tcp4", c.address)
		if err != nil {
			return errors.Wrap(err, "dial the peer")
		}
		c.conn = drpcconn.New(conn)
	}
	if err := c.conn.Invoke(ctx, rpc, encoding{}, request, response); err != nil {
		c.close()
		return errors.Wrapf(err, "call %s of the peer", rpc)
	}
	return nil
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
