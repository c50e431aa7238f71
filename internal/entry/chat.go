package entry

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/queue"
	"github.com/acacialink/acacialink/internal/resource"
	"github.com/acacialink/acacialink/internal/route"
	"github.com/acacialink/acacialink/internal/snapshot"
	"github.com/acacialink/acacialink/internal/verdict"
)

func (s *Server) handleChat(w http.ResponseWriter, r *http.Request) { s.complete(w, r, true) }

func (s *Server) handleCompletion(w http.ResponseWriter, r *http.Request) { s.complete(w, r, false) }

// complete serves one completion from authentication to the last token.
func (s *Server) complete(w http.ResponseWriter, r *http.Request, chat bool) {
	caller, view, err := s.authenticate(r)
	if err != nil {
		s.fail(w, r, err)
		return
	}
	body, release, err := s.readBody(w, r)
	defer release()
	if err != nil {
		s.fail(w, r, err)
		return
	}
	g, err := s.newGeneration(w, r, body, view, caller, chat)
	if err != nil {
		s.fail(w, r, err)
		return
	}
	if err := s.admitAndRun(r.Context(), g); err != nil {
		s.failGeneration(w, r, g, err)
		return
	}
	g.sink.finish(g.finished)
}

// newGeneration checks the request and returns what to generate.
func (s *Server) newGeneration(w http.ResponseWriter, r *http.Request, body []byte, view *snapshot.View, caller Caller, chat bool) (*generation, error) {
	class, err := classOf(r)
	if err != nil {
		return nil, err
	}
	if caller.carriesKey(body, r.URL, nil) {
		return nil, errKeyInBody
	}
	c, err := parseCompletion(body, chat)
	if err != nil {
		return nil, err
	}
	g := &generation{server: s, id: requestID(r), begun: time.Now(), caller: caller, class: class, prompt: c.Prompt, exclude: make(map[string]struct{})}
	if err := g.setModel(view, c, s.opts.Limits.PromptBytes); err != nil {
		return nil, err
	}
	g.sink = s.newSink(w, r, g, c, chat)
	return g, nil
}

// setModel checks the request against the model's and the workspace's bounds.
func (g *generation) setModel(view *snapshot.View, c completionRequest, promptBytes int64) error {
	g.model, g.adapter, _ = strings.Cut(c.Model, ":")
	spec, ok := view.Model(g.model)
	if !ok || !mayUse(g.caller.Spec, g.model) || !hasAdapter(spec, g.adapter) {
		return verdict.New(verdict.NotRun, http.StatusNotFound, "unknown_model", "there is no such model for this workspace")
	}
	g.promptTokens = backing.Tokens(g.prompt)
	if int64(len(g.prompt)) > promptBytes || g.promptTokens > spec.MaxPromptTokens {
		return badRequest("prompt_too_long", "the prompt is longer than the model takes")
	}
	g.maxTokens = spec.MaxOutputTokens
	if c.MaxTokens > 0 {
		g.maxTokens = min(c.MaxTokens, spec.MaxOutputTokens)
	}
	return nil
}

func mayUse(w resource.WorkspaceSpec, model string) bool {
	return len(w.Models) == 0 || slices.Contains(w.Models, model)
}

func hasAdapter(m resource.ModelSpec, adapter string) bool {
	if adapter == "" {
		return true
	}
	return slices.ContainsFunc(m.Adapters, func(a resource.AdapterSpec) bool { return a.Name == adapter })
}

// admitAndRun takes tokens from the workspace's rate, waits for the request's
// turn, generates, and settles both.
func (s *Server) admitAndRun(ctx context.Context, g *generation) error {
	reservation, err := s.opts.Quota.Reserve(ctx, g.caller.Workspace, g.caller.Spec, int64(g.promptTokens+g.maxTokens))
	if err != nil {
		return err
	}
	defer func() { reservation.Settle(g.used()) }()
	queueCtx, cancel := context.WithTimeout(ctx, s.opts.Timeouts.Queue)
	defer cancel()
	g.ticket, err = s.opts.Queue.Admit(queueCtx, g.model, queue.Item{
		Workspace:    g.caller.Workspace,
		Class:        g.class,
		Weight:       g.caller.Spec.Weight,
		PromptTokens: int64(g.promptTokens),
		CachedTokens: int64(s.opts.Router.Predict(time.Now(), g.routeRequest())),
		OutputTokens: int64(g.maxTokens),
	})
	if err != nil {
		return err
	}
	defer func() { g.ticket.Release(int64(g.delivered)) }()
	if err := reservation.Start(ctx); err != nil {
		return err
	}
	defer s.recordUsage(g)
	return g.run(ctx)
}

func (s *Server) recordUsage(g *generation) {
	if !g.ran() {
		return
	}
	s.opts.Usage.Add(g.caller.Workspace, g.model, int64(g.promptTokens), int64(g.delivered), int64(g.cached), 1)
}

// routeRequest is what the router needs to know of the generation.
func (g *generation) routeRequest() *route.Request {
	if g.prefix == nil {
		g.prefix = backing.PrefixHashes(g.model, g.prompt)
	}
	return &route.Request{
		Model:        g.model,
		Adapter:      g.adapter,
		Prefix:       g.prefix,
		PromptTokens: g.promptTokens,
		MaxTokens:    g.maxTokens - g.delivered,
		Priority:     enginePriority(g.class),
		Domain:       g.server.opts.Domain,
		Exclude:      g.exclude,
	}
}
