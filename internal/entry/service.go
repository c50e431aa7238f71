package entry

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/acacialink/acacialink/internal/endtoend"
	"github.com/acacialink/acacialink/internal/idempotency"
	"github.com/acacialink/acacialink/internal/resource"
	"github.com/acacialink/acacialink/internal/verdict"
)

// defaultMethods are the methods allowed on routes that list none.
var defaultMethods = []string{http.MethodGet, http.MethodHead, http.MethodPost}

// handleService handles a call on a configured route to a service. Calls on
// open routes are served by any view of the configuration; all else, also a final
// refusal, needs a fresh one.
func (s *Server) handleService(w http.ResponseWriter, r *http.Request) {
	view, stale := s.opts.Config.FreshView()
	if stale != nil {
		view = s.opts.Config.Current()
	}
	name, spec, ok := view.Route(r.URL.Path)
	allowed := methodAllowed(spec, r.Method)
	if stale != nil && (!spec.Open || !allowed) {
		s.writeError(w, r, stale)
		return
	}
	if !ok {
		s.handleNotFound(w, r)
		return
	}
	if !allowed {
		s.handleMethodNotAllowed(w, r)
		return
	}
	if spec.Open {
		s.forward(w, r, Caller{}, name, spec)
		return
	}
	caller, err := resolveCaller(r, view)
	if err != nil {
		s.writeError(w, r, err)
		return
	}
	s.forward(w, r, caller, name, spec)
}

func methodAllowed(spec resource.RouteSpec, method string) bool {
	methods := spec.Methods
	if len(methods) == 0 {
		methods = defaultMethods
	}
	return slices.Contains(methods, method)
}

// forward sends the call to the service and writes its response.
func (s *Server) forward(w http.ResponseWriter, r *http.Request, caller Caller, name string, spec resource.RouteSpec) {
	body, release, err := s.readBody(w, r)
	defer release()
	if err != nil {
		s.writeError(w, r, err)
		return
	}
	header := forwardedHeaders(r.Header)
	if caller.containsKey(body, r.URL, header) {
		s.writeError(w, r, errKeyInRequest)
		return
	}
	c := &serviceCall{
		server: s,
		id:     requestID(r),
		caller: caller,
		route:  spec,
		method: r.Method,
		path:   r.URL.RequestURI(),
		header: header,
		body:   body,
	}
	defer c.end()
	start := time.Now()
	response, err := s.runCall(r.Context(), c, name, r.Header.Get("Idempotency-Key"))
	if err != nil {
		s.writeCallError(w, r, err)
		return
	}
	if recorder := s.opts.Latencies.Call; recorder != nil {
		recorder.Record(time.Since(start))
	}
	s.writeResponse(w, r, response)
}

// runCall runs a call with retries. A call on an at-most-once route runs under a
// claim, and a repeat of it receives the recorded response.
func (s *Server) runCall(ctx context.Context, c *serviceCall, name, key string) (idempotency.Response, error) {
	if c.route.AtMostOnce {
		// The outcome must be recorded for repeats even if the caller disconnects.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout())
	defer cancel()
	defer context.AfterFunc(s.opts.Stop.Interrupted(), cancel)()
	if !c.route.AtMostOnce {
		return c.run(ctx)
	}
	claimKey := idempotency.Key{Workspace: c.caller.Workspace, Route: name, IdempotencyKey: key}
	response, replayed, err := s.opts.Claims.Run(ctx, claimKey, idempotency.HashBody(c.method, c.path, c.body), c.run)
	if replayed {
		s.stats.Replayed.Add(1)
	}
	return response, err
}

// timeout returns the timeout of the route, or else Timeouts.Call.
func (c *serviceCall) timeout() time.Duration {
	if c.route.TimeoutMillis > 0 {
		return time.Duration(c.route.TimeoutMillis) * time.Millisecond
	}
	return c.server.opts.Timeouts.Call
}

// writeCallError writes err as the response, or aborts the connection if the caller
// disconnected.
func (s *Server) writeCallError(w http.ResponseWriter, r *http.Request, err error) {
	if r.Context().Err() != nil {
		s.abortCaller(r, err)
	}
	s.writeError(w, r, err)
}

func (s *Server) writeResponse(w http.ResponseWriter, r *http.Request, response idempotency.Response) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.opts.Timeouts.Write))
	h := w.Header()
	for name, values := range endtoend.Header(response.Header, []string{requestIDHeader}, nil) {
		h[name] = values
	}
	h.Set(verdict.Header, verdict.Ran.String())
	if len(response.Body) > 0 {
		// With a length the caller sees whether the response is whole, on any protocol.
		h.Set("Content-Length", strconv.Itoa(len(response.Body)))
	}
	w.WriteHeader(response.Status)
	if _, err := w.Write(response.Body); err != nil {
		s.abortCaller(r, callerError(err))
	}
}
