package gateway

import (
	"net"
	"net/http"

	"github.com/acacialink/acacialink/internal/observe"
)

// abort ends the caller's connection in the middle of a response. It does not return.
// A caller that knows no chunks takes a closed connection for the end of the response,
// so its connection is reset.
func (req *request) abort() {
	if !req.knowsChunks {
		req.resetConnection()
	}
	panic(http.ErrAbortHandler)
}

// resetConnection closes the caller's connection with a reset.
func (req *request) resetConnection() {
	c, _, err := http.NewResponseController(req.writer).Hijack()
	if err != nil {
		req.gateway.opts.Log.Warn("failed to reset the caller's connection", observe.FieldError, err)
		return
	}
	defer c.Close()
	if wrapped, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = wrapped.NetConn()
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		if err := tcp.SetLinger(0); err != nil {
			req.gateway.opts.Log.Warn("failed to reset the caller's connection", observe.FieldError, err)
		}
	}
}
