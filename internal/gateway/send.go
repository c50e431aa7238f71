package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/acacialink/acacialink/internal/catalog"
	"github.com/acacialink/acacialink/internal/endpoint"
	"github.com/acacialink/acacialink/internal/verdict"
)

// codeRejected names the refusal of an endpoint that states not to have run
// the request.
const codeRejected = "endpoint_rejected"

// codePrefillRejected names the same for a prefill.
const codePrefillRejected = "prefill_rejected"

const (
	// maxSends bounds the sends of one request, rejected ones included.
	maxSends = 4
	// connectionReserve is the part of an endpoint's connections that all
	// hosts together use; others may call it too.
	connectionReserve = 0.8
	// minConnections is what a host may always open.
	minConnections = 4
	// retryBusy is when to ask again after every endpoint refused.
	retryBusy = 300 * time.Millisecond
)

func (q *request) dispatch(e *endpoint.Endpoint) *Dispatch {
	return &Dispatch{
		Endpoint: e, Workspace: q.workspaceName(), Left: q.left(),
		Priority: q.rank(), Engine: q.service.Engine != nil,
		Once:        q.route.Kind != catalog.Repeatable,
		Connections: q.connections(),
		Deadline:    q.until.Add(lateMargin),
	}
}

// connections is this host's part of the connections that an endpoint takes.
func (q *request) connections() int {
	if q.service.MaxConnections <= 0 {
		return 0
	}
	part := connectionReserve * float64(q.service.MaxConnections) / float64(max(1, q.g.o.Hosts()))
	return max(minConnections, int(part))
}

// again says whether the request may be sent once more after the outcome.
func (q *request) again(err error) bool {
	if q.sends >= maxSends || q.left() <= 0 {
		return false
	}
	if verdict.Of(err) != verdict.NotRun && (!q.repeatable() || q.runs >= q.route.Attempts) {
		return false
	}
	// A request that only had its prompt read is sent for the first time.
	return q.sends == 0 || q.g.o.Budget.Spend(time.Now(), q.service.Name)
}

// repeatable says whether the request may run more than once.
func (q *request) repeatable() bool {
	return q.route.Kind == catalog.Repeatable || q.route.Kind == catalog.Stream && q.route.Resumable
}

// send puts the request on the wire once.
func (q *request) send(ctx context.Context, d *Dispatch) (*Reply, error) {
	q.sends++
	q.exclude[d.Endpoint.ID] = true
	reply, err := q.g.o.Sender.Send(ctx, q.call, d)
	if err != nil {
		failed := sendFailure(err)
		q.g.o.Metrics.Sends.Add(failed.Code, 1)
		if failed.Verdict != verdict.NotRun {
			q.runs++
		}
		return nil, failed
	}
	if reply.NotRun || reply.Moved {
		code := codeRejected
		if reply.Moved {
			code = "endpoint_moved"
		}
		q.g.o.Metrics.Sends.Add(code, 1)
		_ = reply.Body.Close()
		return nil, verdict.New(verdict.NotRun, http.StatusServiceUnavailable, code, "the endpoint did not run the request").After(retryBusy)
	}
	q.runs++
	q.g.o.Metrics.Sends.Add("answered", 1)
	return reply, nil
}

// final is what the caller is told after the last try: "not run" only if that
// holds for every send.
func (q *request) final(err error) error {
	e := *verdict.As(err)
	if q.runs > 0 && e.Verdict == verdict.NotRun {
		e.Verdict = verdict.MayHaveRun
	}
	if e.Verdict != verdict.NotRun {
		e.RetryAfter = 0
		if e.Status == http.StatusServiceUnavailable || e.Status == http.StatusTooManyRequests {
			e.Status = http.StatusBadGateway
		}
	}
	return &e
}
