package peer

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcserver"
)

// exchangeCall is the only RPC between entry hosts. Request and response are each
// a Snapshot.
const exchangeCall = "/acacialink.Peer/Exchange"

const (
	// dialTimeout bounds dialing a peer.
	dialTimeout = 500 * time.Millisecond
	// callTimeout bounds one exchange. A connection on which an exchange times
	// out is closed, and the next exchange dials again.
	callTimeout = 400 * time.Millisecond
)

// jsonEncoding implements drpc.Encoding with JSON.
type jsonEncoding struct{}

func (jsonEncoding) Marshal(msg drpc.Message) ([]byte, error) { return json.Marshal(msg) }

func (jsonEncoding) Unmarshal(buf []byte, msg drpc.Message) error { return json.Unmarshal(buf, msg) }

// handler serves the exchange RPC.
type handler struct {
	exchange func(*Snapshot) *Snapshot
}

// HandleRPC implements drpc.Handler.
func (h handler) HandleRPC(stream drpc.Stream, rpc string) error {
	if rpc != exchangeCall {
		return errors.Errorf("unknown call %q", rpc)
	}
	var in Snapshot
	if err := stream.MsgRecv(&in, jsonEncoding{}); err != nil {
		return errors.Wrap(err, "receive a snapshot")
	}
	if err := stream.MsgSend(h.exchange(&in), jsonEncoding{}); err != nil {
		return errors.Wrap(err, "send a snapshot")
	}
	return stream.CloseSend()
}

// serve serves exchange RPCs on the listener until ctx is done.
func serve(ctx context.Context, l net.Listener, exchange func(*Snapshot) *Snapshot) error {
	return drpcserver.New(handler{exchange: exchange}).Serve(ctx, l)
}

// client exchanges snapshots with one peer. It dials on demand and is not safe for
// concurrent use.
type client struct {
	address string
	conn    *drpcconn.Conn // nil while not connected
}

// exchange sends a snapshot and returns the peer's. It closes the connection on
// error.
func (c *client) exchange(ctx context.Context, out *Snapshot) (*Snapshot, error) {
	if c.conn == nil {
		dialer := net.Dialer{Timeout: dialTimeout}
		conn, err := dialer.DialContext(ctx, "tcp4", c.address)
		if err != nil {
			return nil, errors.Wrap(err, "dial the peer")
		}
		c.conn = drpcconn.New(conn)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var in Snapshot
	if err := c.conn.Invoke(ctx, exchangeCall, jsonEncoding{}, out, &in); err != nil {
		c.close()
		return nil, errors.Wrap(err, "exchange snapshots with the peer")
	}
	return &in, nil
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
