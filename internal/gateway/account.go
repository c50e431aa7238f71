package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"runtime/debug"
	"sync/atomic"

	"github.com/acacialink/acacialink/internal/observe"
	"github.com/acacialink/acacialink/internal/verdict"
)

// Account counts requests from their begin to their end. Begun is Ended unless requests are
// in progress.
type Account struct {
	// Begun is the number of requests that reached the gateway.
	Begun int64
	// Ended is the number of those whose end was logged.
	Ended int64
	// CutOff is the number of those that ended although the caller was there and had no
	// whole response.
	CutOff int64
	// Panicked is the number of those that ended whose handler panicked.
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

// codePanicked is the code of a request whose handler panicked.
const codePanicked = "panicked"

// endPanic ends a request whose handler panicked. One that was sent nowhere has not run. It
// must be deferred.
func (req *request) endPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	if cause == http.ErrAbortHandler { //nolint:errorlint // net/http compares it by value too
		panic(cause)
	}
	req.gateway.account.panicked.Add(1)
	id := ""
	if req.call != nil {
		id = req.call.ID
	}
	req.gateway.opts.Log.LogAttrs(context.Background(), slog.LevelError, "handler panicked",
		slog.String(observe.FieldRequestID, id), slog.Any("panic", cause), slog.String("stack", string(debug.Stack())))
	if req.ended {
		panic(http.ErrAbortHandler)
	}
	err := verdict.New(verdict.MayHaveRun, http.StatusBadGateway, codePanicked, "the host failed")
	if req.sends == 0 && req.prefills == 0 {
		err = verdict.New(verdict.NotRun, http.StatusServiceUnavailable, codePanicked, "the host failed").After(unreadyRetryAfter)
	}
	req.finish(err)
}
