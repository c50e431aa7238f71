package entry

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/acacialink/acacialink/internal/endtoend"
	"github.com/acacialink/acacialink/internal/once"
	"github.com/acacialink/acacialink/internal/resource"
	"github.com/acacialink/acacialink/internal/verdict"
)

// defaultMethods are allowed on routes that name none.
var defaultMethods = []string{http.MethodGet, http.MethodHead, http.MethodPost}

// handleService serves a call on a configured route to a plain service.
func (s *Server) handleService(w http.ResponseWriter, r *http.Request) {
	view := s.opts.Config.Current()
	name, spec, ok := view.Route(r.URL.Path)
	if !ok {
		s.handleUnknown(w, r)
		return
	}
	if !allowed(spec, r.Method) {
		s.handleMethod(w, r)
		return
	}
	if spec.Open {
		s.forward(w, r, Caller{}, name, spec)
		return
	}
	caller, _, err := s.authenticate(r)
	if err != nil {
		s.fail(w, r, err)
		return
	}
	s.forward(w, r, caller, name, spec)
}

func allowed(spec resource.RouteSpec, method string) bool {
	methods := spec.Methods
	if len(methods) == 0 {
		methods = defaultMethods
	}
	return slices.Contains(methods, method)
}

// forward sends the call and writes the whole answer.
func (s *Server) forward(w http.ResponseWriter, r *http.Request, caller Caller, name string, spec resource.RouteSpec) {
	body, release, err := s.readBody(w, r)
	defer release()
	if err != nil {
		s.fail(w, r, err)
		return
	}
	header := forwardedHeader(r.Header)
	if caller.carriesKey(body, r.URL, header) {
		s.fail(w, r, errKeyInBody)
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
	begun := time.Now()
	answer, err := s.runCall(r.Context(), c, name, r.Header.Get("Idempotency-Key"))
	if err != nil {
		s.failCall(w, r, err)
		return
	}
	if recorder := s.opts.Latencies.Call; recorder != nil {
		recorder.Record(time.Since(begun))
	}
	s.writeAnswer(w, answer)
}

// runCall runs an idempotent call with retries, and one that must not be
// repeated under a claim.
func (s *Server) runCall(ctx context.Context, c *serviceCall, name, key string) (once.Response, error) {
	if c.route.AtMostOnce {
		// The outcome is recorded for a repeat even if the caller leaves.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout())
	defer cancel()
	if !c.route.AtMostOnce {
		return c.run(ctx)
	}
	claim := once.Key{Workspace: c.caller.Workspace, Route: name, IdempotencyKey: key}
	answer, replayed, err := s.opts.Claims.Run(ctx, claim, once.HashBody(c.method, c.path, c.body), c.run)
	if replayed {
		s.stats.Replayed.Add(1)
	}
	return answer, err
}

func (c *serviceCall) timeout() time.Duration {
	if c.route.TimeoutMillis > 0 {
		return time.Duration(c.route.TimeoutMillis) * time.Millisecond
	}
	return c.server.opts.Timeouts.Call
}

func (s *Server) failCall(w http.ResponseWriter, r *http.Request, err error) {
	if r.Context().Err() != nil {
		s.stats.Gone.Add(1)
		panic(http.ErrAbortHandler)
	}
	s.fail(w, r, err)
}

func (s *Server) writeAnswer(w http.ResponseWriter, a once.Response) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.opts.Timeouts.Write))
	h := w.Header()
	for name, values := range endtoend.Header(a.Header, []string{requestIDHeader}, nil) {
		h[name] = values
	}
	h.Set(verdict.Header, verdict.Ran.String())
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}
