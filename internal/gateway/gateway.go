package gateway

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/singleflight"

	"github.com/acacialink/acacialink/internal/bodybudget"
	"github.com/acacialink/acacialink/internal/catalog"
	"github.com/acacialink/acacialink/internal/observe"
	"github.com/acacialink/acacialink/internal/termination"
	"github.com/acacialink/acacialink/internal/verdict"
)

// Gateway is the HTTP handler for callers' requests. It is safe for concurrent
// use.
type Gateway struct {
	opts    Options
	active  atomic.Int64
	account account
	// probes joins the probes of one engine.
	probes singleflight.Group
	// darkProbes joins those of engines that fell silent.
	darkProbes singleflight.Group
	// durations holds how long requests usually take.
	durations termination.Durations[requestKind]
}

// New returns a gateway with the given options.
func New(opts Options) *Gateway {
	return &Gateway{opts: opts, durations: termination.Durations[requestKind]{Least: leastObserved}}
}

// Active returns the number of requests in progress.
func (g *Gateway) Active() int64 { return g.active.Load() }

// request is the state of one request in the gateway. It is used by one
// goroutine.
type request struct {
	gateway *Gateway
	call    *Call
	writer  http.ResponseWriter
	// knowsChunks reports whether the caller's protocol has chunked bodies.
	knowsChunks bool
	// start is the time at which the request arrived at the host, as far as can be
	// told.
	start time.Time
	// catalog is the configuration version that serves the request.
	catalog *catalog.Catalog
	// configAge is the age of the configuration at admission.
	configAge time.Duration
	route     *catalog.Route
	service   *catalog.Service
	workspace *catalog.Workspace
	// deadline is the time by which the request must be answered.
	deadline time.Time
	// excluded holds the IDs of the endpoints that have been tried.
	excluded map[string]bool
	// unreachable holds those of them that it could not reach.
	unreachable unreachableEndpoints
	// possibleRuns counts the sends that an endpoint may have executed.
	possibleRuns int
	// sends counts all sends except prefills.
	sends int
	// prefills counts the sends that only prefill the prompt.
	prefills int
	// budget tracks the retry budget that this request has consumed.
	budget budgetUse
	// reservedTokens is the number of tokens reserved from the workspace's rate
	// limit.
	reservedTokens int64
	// reservedAt is the time of that reservation.
	reservedAt time.Time
	// crashes counts the engines that crashed under the request. mayBeDeadly is set once
	// it may be the cause. tries is set if it
	// was chosen to try a segment that is held back.
	crashes            int
	mayBeDeadly, tries bool
	// usageCounted is set once the request is counted in the workspace's usage.
	usageCounted bool
	// headerWritten is set once the header of the response has been written.
	headerWritten bool
	// predictedLate is set when the first event is predicted to miss the
	// route's latency target.
	predictedLate bool
	// firstLatency is the time to the first event or to a buffered response.
	firstLatency time.Duration
	// resumes is set once the stream has left an engine because it could go on at another.
	resumes bool
	// ended is set once the end is logged.
	ended bool
	// endReason is why the request was not sent again after its last attempt failed.
	endReason string
	// logAttrs are the attributes of the current attempt for the log.
	logAttrs []slog.Attr
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.account.begun.Add(1)
	g.active.Add(1)
	defer g.active.Add(-1)
	req := &request{gateway: g, writer: w, knowsChunks: r.ProtoAtLeast(1, 1), start: time.Now().Add(-g.opts.SchedulingDelay()), excluded: make(map[string]bool)}
	defer req.endPanic()
	err := req.serve(r)
	req.finish(err)
}

// errCallerGone reports that the caller disconnected. No response is sent.
var errCallerGone = errors.New("caller disconnected")

// serve handles the request from its header to the end of the response. finish
// turns an error into an error response if none has been started.
func (req *request) serve(r *http.Request) error {
	call, err := req.gateway.opts.Ingress.ParseCall(r)
	req.call = call
	if err != nil {
		return malformedFailure(err)
	}
	if err := req.admit(); err != nil {
		return err
	}
	if err := req.checkSegments(); err != nil {
		return err
	}
	release, err := req.readBody(r)
	defer release()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(r.Context(), req.deadline.Add(lateMargin))
	defer cancel()
	defer context.AfterFunc(req.gateway.opts.Termination.Interrupted(), cancel)()
	retry, ok := req.waitForQuota(ctx)
	if !ok {
		req.logAttrs = append(req.logAttrs, slog.Int64("tokens", req.reservedTokens), slog.Duration("retry_ms", retry), slog.Float64("rate", req.workspace.Rate))
		return verdict.New(verdict.NotRun, http.StatusTooManyRequests, "rate_limited", "the workspace is over its rate").After(retry)
	}
	req.gateway.opts.Budget.RecordRequest(time.Now(), req.service.Name)
	if req.route.Kind == catalog.Stream {
		err = req.serveStream(ctx)
	} else {
		err = req.servePlain(ctx)
	}
	if !req.usageCounted && verdict.Of(err) == verdict.NotRun && err != nil {
		req.refundQuota()
	}
	if err != nil && r.Context().Err() != nil {
		return errors.Wrap(errCallerGone, err.Error())
	}
	return req.interruptedError(err)
}

// lateMargin is the time after a request's deadline at which its context is
// canceled. It lets an endpoint that stops at the deadline still return its
// response.
const lateMargin = 100 * time.Millisecond

// readBody reads the whole body, up to the configured limit in bytes. The caller
// must call release when it is done with the body, also after an error.
func (req *request) readBody(r *http.Request) (release func(), err error) {
	if r.ContentLength == 0 && r.Body == http.NoBody {
		return func() {}, nil
	}
	limit := req.catalog.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	control := http.NewResponseController(req.writer)
	if err := control.SetReadDeadline(req.deadline); err != nil {
		req.gateway.opts.Log.Warn("failed to set the read deadline on the caller's connection", observe.FieldError, err)
	}
	interrupted := context.AfterFunc(req.gateway.opts.Termination.Interrupted(), func() { _ = control.SetReadDeadline(time.Now()) })
	defer interrupted()
	reader := req.gateway.opts.Bodies.NewReader(http.MaxBytesReader(req.writer, r.Body, limit))
	body, err := io.ReadAll(reader)
	var tooBig *http.MaxBytesError
	switch {
	case errors.As(err, &tooBig):
		err = verdict.New(verdict.NotRun, http.StatusRequestEntityTooLarge, "body_too_large", "the body is longer than the limit")
	case errors.Is(err, bodybudget.ErrExhausted):
		err = verdict.Wrap(err, verdict.NotRun, http.StatusServiceUnavailable, "buffers_full", "the host holds as many bytes of bodies as it may").After(unreadyRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded): // net/http ends the context then as well
		err = errBodyLost(err)
	case err != nil && r.Context().Err() != nil:
		err = errCallerGone
	case err != nil:
		err = errBodyLost(err)
	}
	if err != nil {
		return reader.Release, err
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		req.gateway.opts.Log.Warn("failed to clear the read deadline on the caller's connection", observe.FieldError, err)
	}
	req.call.Body, req.call.HasBody = body, true
	return reader.Release, nil
}

func errBodyLost(cause error) error {
	return verdict.Wrap(cause, verdict.NotRun, http.StatusRequestTimeout, "body_lost", "the body did not arrive whole in time")
}

// defaultBodyBytes is the body limit if the configuration sets none.
const defaultBodyBytes = 4 << 20
