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

// exchangeCall is the one call between hosts: a snapshot for a snapshot.
const exchangeCall = "/acacialink.Peer/Exchange"

const (
	// dialTimeout bounds the opening of a connection to a peer.
	dialTimeout = 500 * time.Millisecond
	// callTimeout bounds an exchange; a connection that was silent for so long
	// is closed and opened anew.
	callTimeout = 400 * time.Millisecond
)

// jsonEncoding is how snapshots go over drpc.
type jsonEncoding struct{}

func (jsonEncoding) Marshal(msg drpc.Message) ([]byte, error) { return json.Marshal(msg) }

func (jsonEncoding) Unmarshal(buf []byte, msg drpc.Message) error { return json.Unmarshal(buf, msg) }

// handler answers exchanges.
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

// serve answers peers on the listener until ctx ends.
func serve(ctx context.Context, l net.Listener, exchange func(*Snapshot) *Snapshot) error {
	return drpcserver.New(handler{exchange: exchange}).Serve(ctx, l)
}

// link is a connection to one peer, opened when it is needed.
type link struct {
	address string
	conn    *drpcconn.Conn
}

func (l *link) exchange(ctx context.Context, out *Snapshot) (*Snapshot, error) {
	if l.conn == nil {
		dialer := net.Dialer{Timeout: dialTimeout}
		c, err := dialer.DialContext(ctx, "tcp4", l.address)
		if err != nil {
			return nil, errors.Wrap(err, "dial a peer")
		}
		l.conn = drpcconn.New(c)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var in Snapshot
	if err := l.conn.Invoke(ctx, exchangeCall, jsonEncoding{}, out, &in); err != nil {
		l.close()
		return nil, errors.Wrap(err, "exchange with a peer")
	}
	return &in, nil
}

func (l *link) close() {
	if l.conn != nil {
		_ = l.conn.Close()
		l.conn = nil
	}
}
