package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"runtime/debug"
	"sync/atomic"

	"github.com/acacialink/acacialink/internal/observe"
)

// Account counts requests from their begin to their end. Begun is Ended and Panicked
// together, unless requests are in progress.
type Account struct {
	// Begun is the number of requests that reached the gateway.
	Begun int64
	// Ended is the number of those whose end was logged.
	Ended int64
	// CutOff is the number of those that ended although the caller was there and had no
	// whole response.
	CutOff int64
	// Panicked is the number of requests whose handler panicked.
	Panicked int64
}

// account is an Account in progress. It is safe for concurrent use.
type account struct{ begun, ended, cutOff, panicked atomic.Int64 }

// Account returns the account of all requests so far.
func (g *Gateway) Account() Account {
	// Begun is read last, so that it is at least what has ended.
	a := Account{Ended: g.account.ended.Load(), CutOff: g.account.cutOff.Load(), Panicked: g.account.panicked.Load()}
	a.Begun = g.account.begun.Load()
	return a
}

// recordPanic logs a panic of the request's handler, after which net/http closes the
// connection. It must be deferred.
func (req *request) recordPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	if cause != http.ErrAbortHandler { //nolint:errorlint // net/http compares it by value too
		req.gateway.account.panicked.Add(1)
		req.gateway.opts.Metrics.Outcomes.Add("panicked", 1)
		id := ""
		if req.call != nil {
			id = req.call.ID
		}
		req.gateway.opts.Log.LogAttrs(context.Background(), slog.LevelError, "handler panicked",
			slog.String(observe.FieldRequestID, id), slog.Any("panic", cause), slog.String("stack", string(debug.Stack())))
	}
	panic(http.ErrAbortHandler)
}
