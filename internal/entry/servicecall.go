package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/acacialink/acacialink/internal/fleet"
	"github.com/acacialink/acacialink/internal/idempotency"
	"github.com/acacialink/acacialink/internal/queue"
	"github.com/acacialink/acacialink/internal/resource"
	"github.com/acacialink/acacialink/internal/route"
	"github.com/acacialink/acacialink/internal/rpc"
	"github.com/acacialink/acacialink/internal/rpc/wire"
	"github.com/acacialink/acacialink/internal/verdict"
)

// serviceCall is one call to a service.
type serviceCall struct {
	server *Server
	id     string
	caller Caller
	route  resource.RouteSpec
	method string
	path   string
	header http.Header
	body   []byte
	// answered is the rpc call whose answer is in use; nil if there is none.
	answered *rpc.Call
}

// end returns the memory of the answer.
func (c *serviceCall) end() {
	if c.answered != nil {
		c.answered.Cancel()
	}
}

// run sends the call and retries it within the deadline of ctx and the retry budget.
// A call on an at-most-once route is retried only while no attempt may have run.
func (c *serviceCall) run(ctx context.Context) (idempotency.Response, error) {
	s := c.server
	s.retries.deposit()
	exclude := make(map[string]struct{})
	var lastErr error
	mayHaveRun := false
	for attempt := 1; ; attempt++ {
		response, err := c.attempt(ctx, exclude)
		if err == nil {
			s.opts.Usage.Add(c.caller.Workspace, c.route.Service, 0, 0, 0, 1)
			return response, nil
		}
		lastErr = firstSpecificError(lastErr, err)
		mayHaveRun = mayHaveRun || verdict.Of(err) != verdict.NotRun
		if !c.mayRetry(ctx, attempt, err) {
			return idempotency.Response{}, finalCallError(lastErr, mayHaveRun)
		}
		s.stats.Retries.Add(1)
	}
}

// finalCallError returns the error for the caller. Its verdict is not-run only if no
// attempt may have run.
func finalCallError(err error, mayHaveRun bool) error {
	e := *verdict.As(err)
	if mayHaveRun && e.Verdict == verdict.NotRun {
		e.Verdict = verdict.MayHaveRun
		e.Status = http.StatusBadGateway
	}
	return &e
}

// mayRetry reports whether the call may be sent again after err, and withdraws the
// retry from the budget.
func (c *serviceCall) mayRetry(ctx context.Context, attempt int, err error) bool {
	if ctx.Err() != nil || attempt >= c.server.opts.MaxAttempts || isNoEndpoint(err) {
		return false
	}
	if c.route.AtMostOnce && verdict.Of(err) != verdict.NotRun {
		return false
	}
	return c.server.retries.withdraw()
}

// attempt sends the call once, to an endpoint that is not in exclude, and adds that
// endpoint to exclude.
func (c *serviceCall) attempt(ctx context.Context, exclude map[string]struct{}) (idempotency.Response, error) {
	s := c.server
	class, _ := queue.ParseClass(c.route.Priority)
	flight, err := s.pick(&route.Request{
		Model:    fleet.ServiceModel(c.route.Service),
		Priority: enginePriority(class),
		Domain:   s.opts.Domain,
		Exclude:  exclude,
	})
	if err != nil {
		return idempotency.Response{}, err
	}
	defer flight.Done(-1)
	exclude[flight.Endpoint] = struct{}{}
	session := s.opts.Sessions.Session(flight.Endpoint)
	if session == nil {
		return idempotency.Response{}, verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "session_closed", "the connection to the endpoint's agent is closed")
	}
	call, err := session.Open(c.id, c.callMessage(ctx))
	if err != nil {
		return idempotency.Response{}, err
	}
	response, err := c.awaitResponse(ctx, call)
	if err != nil {
		call.Cancel()
		s.noteFailure(flight.Endpoint, err)
		return idempotency.Response{}, err
	}
	c.answered = call
	return response, nil
}

// callMessage returns the wire message of the call. Its timeout is the time left
// until the deadline of ctx.
func (c *serviceCall) callMessage(ctx context.Context) *wire.EntryMessage {
	timeout := c.timeout()
	if deadline, ok := ctx.Deadline(); ok {
		timeout = time.Until(deadline)
	}
	headers := make([]*wire.Header, 0, len(c.header))
	for name, values := range c.header {
		headers = append(headers, &wire.Header{Name: name, Values: values})
	}
	return &wire.EntryMessage{Body: &wire.EntryMessage_Call{Call: &wire.CallRequest{
		Method:     c.method,
		Path:       c.path,
		Headers:    headers,
		Body:       c.body,
		Idempotent: !c.route.AtMostOnce,
		TimeoutUs:  timeout.Microseconds(),
		Workspace:  c.caller.Workspace,
	}}}
}

// awaitResponse waits for the response of the service.
func (c *serviceCall) awaitResponse(ctx context.Context, call *rpc.Call) (idempotency.Response, error) {
	m, err := call.Next(ctx)
	if err != nil && c.server.opts.Stop.Interrupted().Err() != nil {
		return idempotency.Response{}, c.server.interruptedError(err)
	}
	if ctx.Err() != nil && err != nil {
		return idempotency.Response{}, verdict.Wrap(err, verdict.MayHaveRun, http.StatusGatewayTimeout, "call_timeout", "the service did not answer in time")
	}
	if err != nil {
		return idempotency.Response{}, err
	}
	if failed := m.GetFailed(); failed != nil {
		return idempotency.Response{}, rpc.ErrorFromFailed(failed)
	}
	response := m.GetCall()
	if response == nil {
		return idempotency.Response{}, verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "answer_unknown", "the agent sent an answer of another kind")
	}
	header := make(map[string][]string, len(response.Headers))
	for _, h := range response.Headers {
		header[h.Name] = h.Values
	}
	return idempotency.Response{Status: int(response.Status), Header: header, Body: response.Body}, nil
}
