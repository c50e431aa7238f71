package gateway

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/catalog"
	"github.com/acacialink/acacialink/internal/observe"
	"github.com/acacialink/acacialink/internal/verdict"
)

// Gateway is the callers' HTTP handler.
type Gateway struct {
	o      Options
	active atomic.Int64
}

// New returns a gateway.
func New(o Options) *Gateway { return &Gateway{o: o} }

// Active is the number of requests being served.
func (g *Gateway) Active() int64 { return g.active.Load() }

// request is one request on its way through the gateway.
type request struct {
	g     *Gateway
	call  *Call
	w     http.ResponseWriter
	begun time.Time
	// catalog is the version that the request is served by.
	catalog   *catalog.Catalog
	age       time.Duration
	route     *catalog.Route
	service   *catalog.Service
	workspace *catalog.Workspace
	// until is when the request must have been answered.
	until time.Time
	// exclude holds the endpoints that were tried, runs how many may have run it.
	exclude map[string]bool
	runs    int
	sends   int
	// prefills counts the sends that only have the prompt read.
	prefills int
	// tokens were taken of the workspace's rate at a time.
	tokens int64
	taken  time.Time
	// counted says that the workspace's usage was counted.
	counted bool
	// answered says that the head of the answer was written.
	answered bool
	// late says that the first event is predicted to miss the route's target.
	late  bool
	first time.Duration
	trace []slog.Attr
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	q := &request{g: g, w: w, begun: time.Now(), exclude: make(map[string]bool)}
	if _, ending := g.o.Ending(); ending {
		w.Header().Set("Connection", "close")
	}
	err := q.serve(r)
	q.end(err)
}

// errLongEvent means that an event is longer than any that is relayed.
var errLongEvent = errors.New("event is too long")

// errCallerGone ends a request whose caller has left; nothing is answered.
var errCallerGone = errors.New("caller has left")

// serve takes the request from its head to the end of its answer. An error
// before the answer's head is answered by end.
func (q *request) serve(r *http.Request) error {
	call, err := q.g.o.Ingress.Call(r)
	q.call = call
	if err != nil {
		return malformed(err)
	}
	if err := q.admit(); err != nil {
		return err
	}
	if err := q.readBody(r); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.until.Add(lateMargin))
	defer cancel()
	retry, ok := q.waitQuota(ctx)
	if !ok {
		q.trace = append(q.trace, slog.Int64("tokens", q.tokens), slog.Duration("retry_ms", retry), slog.Float64("rate", q.workspace.Rate))
		return verdict.New(verdict.NotRun, http.StatusTooManyRequests, "rate_limited", "the workspace is over its rate").After(retry)
	}
	q.g.o.Budget.Request(time.Now(), q.service.Name)
	if q.route.Kind == catalog.Stream {
		err = q.stream(ctx)
	} else {
		err = q.plain(ctx)
	}
	if !q.counted && verdict.Of(err) == verdict.NotRun && err != nil {
		q.giveQuota()
	}
	if err != nil && r.Context().Err() != nil {
		return errors.Wrap(errCallerGone, err.Error())
	}
	return err
}

// lateMargin is how long after its time limit a request is cut off: an
// endpoint that ends at its own limit may still answer by then.
const lateMargin = 100 * time.Millisecond

// readBody reads the whole body within the configuration's limit.
func (q *request) readBody(r *http.Request) error {
	if r.ContentLength == 0 && r.Body == http.NoBody {
		return nil
	}
	limit := q.catalog.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	control := http.NewResponseController(q.w)
	if err := control.SetReadDeadline(q.until); err != nil {
		q.g.o.Log.Warn("no read deadline on a caller's connection", observe.FieldError, err)
	}
	body, err := io.ReadAll(http.MaxBytesReader(q.w, r.Body, limit))
	var tooBig *http.MaxBytesError
	switch {
	case errors.As(err, &tooBig):
		return verdict.New(verdict.NotRun, http.StatusRequestEntityTooLarge, "body_too_large", "the body is longer than the limit")
	case r.Context().Err() != nil:
		return errCallerGone
	case err != nil:
		return verdict.Wrap(err, verdict.NotRun, http.StatusRequestTimeout, "body_lost", "the body did not arrive whole in time")
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		q.g.o.Log.Warn("no read deadline on a caller's connection", observe.FieldError, err)
	}
	q.call.Body, q.call.HasBody = body, true
	return nil
}

// defaultBodyBytes bounds a body where the configuration has no limit.
const defaultBodyBytes = 4 << 20
