package gateway

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/catalog"
	"github.com/acacialink/acacialink/internal/termination"
	"github.com/acacialink/acacialink/internal/verdict"
)

const (
	// usualStreamTime and usualPlainTime are the times that requests are taken to last
	// before this host has seen any.
	usualStreamTime = 4200 * time.Millisecond
	usualPlainTime  = time.Second
)

// codeHostEnding is the code of requests that a stopping host refuses or interrupts.
const codeHostEnding = "host_ending"

// requestKind is a kind of request whose duration is estimated.
type requestKind struct {
	service string
	stream  bool
}

// work returns what is known of the request's time.
func (req *request) work() termination.Work {
	kind := req.kind()
	usual, ok := req.gateway.durations.Usual(kind)
	if !ok {
		usual = usualPlainTime
		if kind.stream {
			usual = usualStreamTime
		}
	}
	return termination.Work{Arrived: req.start, Deadline: req.deadline.Add(lateMargin), Usual: usual}
}

func (req *request) kind() requestKind {
	return requestKind{service: req.service.Name, stream: req.route.Kind == catalog.Stream}
}

// mayBegin refuses a request that this host, as it is stopping, might have to interrupt.
func (req *request) mayBegin() error {
	state := req.gateway.opts.Termination
	if !state.Stopping() {
		return nil
	}
	if refusal := state.Refusal(time.Now(), req.work()); refusal != termination.Admitted {
		return errHostEnding(refusal)
	}
	return nil
}

// mayGoOn is mayBegin before a further step of a request in progress. It returns last, the
// error of the step before, if there is one. A stream that has left an engine for another
// step is not refused that step.
func (req *request) mayGoOn(last error) error {
	state := req.gateway.opts.Termination
	if !state.Stopping() || req.resumes {
		return nil
	}
	refusal := state.RefusalOfStep(time.Now(), req.work())
	if refusal == termination.Admitted {
		return nil
	}
	if last != nil {
		req.endReason = codeHostEnding + " " + string(refusal)
		return last
	}
	return errHostEnding(refusal)
}

func errHostEnding(refusal termination.Refusal) error {
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, codeHostEnding, "this host is about to end: "+string(refusal)).After(unreadyRetryAfter)
}

// interruptedError returns the error of a request that the end of the host interrupted, and
// err of any other.
func (req *request) interruptedError(err error) error {
	if err == nil || req.gateway.opts.Termination.Interrupted().Err() == nil || errors.Is(err, errCallerGone) || verdict.Of(err) == verdict.NotRun {
		return err
	}
	return verdict.Wrap(err, verdict.Of(err), http.StatusBadGateway, codeHostEnding, "this host ended before the answer")
}

// closeIfStopping asks the caller to close its connection after the response.
func (req *request) closeIfStopping() {
	if req.gateway.opts.Termination.Stopping() {
		req.writer.Header().Set("Connection", "close")
	}
}

// observeDuration records how long the request took, if it was sent to an endpoint.
func (req *request) observeDuration(err error) {
	if req.sends > 0 && !errors.Is(err, errCallerGone) {
		req.gateway.durations.Observe(req.kind(), time.Since(req.start))
	}
}
