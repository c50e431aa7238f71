package gateway

import (
	"context"
	"log/slog"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/endpoint"
	"github.com/acacialink/acacialink/internal/observe"
	"github.com/acacialink/acacialink/internal/verdict"
)

// unreachableEndpoints are the endpoints to which a request could open no connection.
// Nothing of the request was sent to them, so it may be tried there again, once.
type unreachableEndpoints struct {
	// failedAt is when the first try at an endpoint failed, by its ID. An endpoint is
	// removed when it is tried again, and is then in triedAgain.
	failedAt   map[string]time.Time
	triedAgain map[string]bool
}

// record adds an endpoint, unless it was already tried again.
func (u *unreachableEndpoints) record(now time.Time, id string) {
	if u.triedAgain[id] {
		return
	}
	if u.failedAt == nil {
		u.failedAt = make(map[string]time.Time)
	}
	u.failedAt[id] = now
}

// unreachablePause is the time from a failed try at an endpoint to the next.
const unreachablePause = 100 * time.Millisecond

// next returns that of the endpoints which failed first, and the time to wait before it is
// tried again. It is nil if there is none. It returns each endpoint once.
func (u *unreachableEndpoints) next(now time.Time, endpoints []*endpoint.Endpoint) (first *endpoint.Endpoint, wait time.Duration) {
	for _, e := range endpoints {
		at, ok := u.failedAt[e.ID]
		if ok && (first == nil || at.Before(u.failedAt[first.ID])) {
			first = e
		}
	}
	if first == nil {
		return nil, 0
	}
	wait = max(0, u.failedAt[first.ID].Add(unreachablePause).Sub(now))
	delete(u.failedAt, first.ID)
	if u.triedAgain == nil {
		u.triedAgain = make(map[string]bool)
	}
	u.triedAgain[first.ID] = true
	return first, wait
}

// retryUnreachable lets a request for which no endpoint is left be placed again at one that
// was unreachable, after a pause. It returns false if it may not be. last is the error of
// the send before, after which mayRetry has allowed another.
//
// A request that cannot have run anywhere is refused instead: its caller may repeat it, and
// reaches another host.
func (req *request) retryUnreachable(ctx context.Context, last error) bool {
	if last == nil || req.possibleRuns == 0 || !req.repeatable() {
		return false
	}
	e, wait := req.unreachable.next(time.Now(), req.gateway.opts.Endpoints.Service(req.service.Name))
	if e == nil || req.remaining() <= wait || !backing.Pause(ctx, wait) {
		return false
	}
	delete(req.excluded, e.ID)
	req.gateway.opts.Log.LogAttrs(ctx, slog.LevelInfo, "request tries an unreachable endpoint again",
		slog.String(observe.FieldRequestID, req.call.ID), slog.String(observe.FieldEndpoint, e.ID), slog.Any(observe.FieldError, last))
	return true
}

// noneLeft reports whether err means that no endpoint can take the request now.
func noneLeft(err error) bool {
	code := verdict.As(err).Code
	return code == codeNoEndpoint || untilStated(err)
}
