package gateway

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/termination"
	"github.com/acacialink/acacialink/internal/verdict"
)

// leastObserved is the number of requests of a kind from which on their usual duration counts:
// one that happened to be short says little about the next one.
const leastObserved = 4

// codeHostEnding is the code of requests that a stopping host refuses or interrupts.
const codeHostEnding = "host_ending"

// requestKind is a kind of request whose duration is estimated. Routes to one service differ.
type requestKind struct{ service, route string }

// work returns what is known of the request's time. Before this host has seen how long
// requests of the kind take, one may last until its deadline.
func (req *request) work() termination.Work {
	deadline := req.deadline.Add(lateMargin)
	usual, ok := req.gateway.durations.Usual(req.kind())
	if !ok {
		usual = time.Until(deadline)
	}
	return termination.Work{Arrived: req.start, Deadline: deadline, Usual: usual}
}

func (req *request) kind() requestKind {
	return requestKind{service: req.service.Name, route: req.route.Name}
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

// observeDuration records how long the request took, if it was answered: one that failed would
// have lasted longer.
func (req *request) observeDuration(err error) {
	if req.sends > 0 && err == nil {
		req.gateway.durations.Observe(req.kind(), time.Since(req.start))
	}
}
