package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/acacialink/acacialink/internal/fleet"
	"github.com/acacialink/acacialink/internal/once"
	"github.com/acacialink/acacialink/internal/queue"
	"github.com/acacialink/acacialink/internal/resource"
	"github.com/acacialink/acacialink/internal/route"
	"github.com/acacialink/acacialink/internal/rpc"
	"github.com/acacialink/acacialink/internal/rpc/wire"
	"github.com/acacialink/acacialink/internal/verdict"
)

// serviceCall is one call of a plain service.
type serviceCall struct {
	server *Server
	id     string
	caller Caller
	route  resource.RouteSpec
	method string
	path   string
	header http.Header
	body   []byte
}

// run sends the call. It is sent again only while no attempt may have run, or
// when the route says that the call is idempotent; within the deadline of ctx
// and the retry budget.
func (c *serviceCall) run(ctx context.Context) (once.Response, error) {
	s := c.server
	s.retry.earn()
	exclude := make(map[string]struct{})
	var last error
	mayHaveRun := false
	for attempt := 1; ; attempt++ {
		answer, err := c.attempt(ctx, exclude)
		if err == nil {
			s.opts.Usage.Add(c.caller.Workspace, c.route.Service, 0, 0, 0, 1)
			return answer, nil
		}
		last = firstOf(last, err)
		mayHaveRun = mayHaveRun || verdict.Of(err) != verdict.NotRun
		if !c.mayRepeat(ctx, attempt, err) {
			return once.Response{}, callFailure(last, mayHaveRun)
		}
		s.stats.Retries.Add(1)
	}
}

// callFailure is what the caller is told: not-run only if that holds for
// every attempt.
func callFailure(err error, mayHaveRun bool) error {
	e := *verdict.As(err)
	if mayHaveRun && e.Verdict == verdict.NotRun {
		e.Verdict = verdict.MayHaveRun
		e.Status = http.StatusBadGateway
	}
	return &e
}

func (c *serviceCall) mayRepeat(ctx context.Context, attempt int, err error) bool {
	if ctx.Err() != nil || attempt >= c.server.opts.Attempts || isNoEndpoint(err) {
		return false
	}
	if c.route.AtMostOnce && verdict.Of(err) != verdict.NotRun {
		return false
	}
	return c.server.retry.spend()
}

// attempt sends the call to one endpoint once.
func (c *serviceCall) attempt(ctx context.Context, exclude map[string]struct{}) (once.Response, error) {
	s := c.server
	class, _ := queue.ParseClass(c.route.Priority)
	flight, err := s.opts.Router.Pick(time.Now(), &route.Request{
		Model:    fleet.ServiceModel(c.route.Service),
		Priority: enginePriority(class),
		Domain:   s.opts.Domain,
		Exclude:  exclude,
	})
	if err != nil {
		return once.Response{}, err
	}
	defer flight.Done(-1)
	exclude[flight.Endpoint] = struct{}{}
	session := s.opts.Sessions.Session(flight.Endpoint)
	if session == nil {
		return once.Response{}, verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "session_closed", "the connection to the endpoint's agent is closed")
	}
	call, err := session.Open(c.id, c.request(ctx))
	if err != nil {
		return once.Response{}, err
	}
	defer call.Cancel()
	return c.answer(ctx, call)
}

func (c *serviceCall) request(ctx context.Context) *wire.EntryMessage {
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

func (c *serviceCall) answer(ctx context.Context, call *rpc.Call) (once.Response, error) {
	m, err := call.Next(ctx)
	if ctx.Err() != nil && err != nil {
		return once.Response{}, verdict.Wrap(err, verdict.MayHaveRun, http.StatusGatewayTimeout, "call_timeout", "the service did not answer in time")
	}
	if err != nil {
		return once.Response{}, err
	}
	if failed := m.GetFailed(); failed != nil {
		return once.Response{}, rpc.Failure(failed)
	}
	response := m.GetCall()
	if response == nil {
		return once.Response{}, verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "answer_unknown", "the agent sent an answer of another kind")
	}
	header := make(map[string][]string, len(response.Headers))
	for _, h := range response.Headers {
		header[h.Name] = h.Values
	}
	return once.Response{Status: int(response.Status), Header: header, Body: response.Body}, nil
}
