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

func (s *Server) handleChat(w http.ResponseWriter, r *http.Request) { s.serveCompletion(w, r, true) }

func (s *Server) handleCompletion(w http.ResponseWriter, r *http.Request) {
	s.serveCompletion(w, r, false)
}

// serveCompletion handles a completion request from authentication to the end of
// the response.
func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request, chat bool) {
	caller, view, err := s.authenticate(r)
	if err != nil {
		s.writeError(w, r, err)
		return
	}
	body, release, err := s.readBody(w, r)
	defer release()
	if err != nil {
		s.writeError(w, r, err)
		return
	}
	g, err := s.newGeneration(w, r, body, view, caller, chat)
	if err != nil {
		s.writeError(w, r, err)
		return
	}
	defer g.release()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(s.opts.Stop.Interrupted(), cancel)()
	if err := s.admitAndGenerate(ctx, g); err != nil {
		s.writeGenerationError(w, r, g, s.interruptedError(err))
		return
	}
	if err := g.sink.finish(g.finished); err != nil {
		s.abortCaller(r, callerError(err))
	}
}

// newGeneration validates the request and returns its generation.
func (s *Server) newGeneration(w http.ResponseWriter, r *http.Request, body []byte, view *snapshot.View, caller Caller, chat bool) (*generation, error) {
	class, err := classOf(r)
	if err != nil {
		return nil, err
	}
	if caller.containsKey(body, r.URL, nil) {
		return nil, errKeyInRequest
	}
	req, err := parseCompletion(body, chat)
	if err != nil {
		return nil, err
	}
	g := &generation{server: s, id: requestID(r), startedAt: time.Now(), caller: caller, class: class, prompt: req.Prompt, excluded: make(map[string]struct{})}
	if err := g.resolveModel(view, req, s.opts.Limits.PromptBytes); err != nil {
		return nil, err
	}
	g.sink = s.newSink(w, r, g, req, chat)
	return g, nil
}

// resolveModel splits the model name into model and adapter and checks the request
// against the limits of the model and the workspace. promptBytes is the maximum
// prompt size in bytes.
func (g *generation) resolveModel(view *snapshot.View, req completionRequest, promptBytes int64) error {
	g.model, g.adapter, _ = strings.Cut(req.Model, ":")
	spec, ok := view.Model(g.model)
	if !ok || !modelAllowed(g.caller.Spec, g.model) || !hasAdapter(spec, g.adapter) {
		return verdict.New(verdict.NotRun, http.StatusNotFound, "unknown_model", "there is no such model for this workspace")
	}
	g.promptTokens = backing.Tokens(g.prompt)
	if int64(len(g.prompt)) > promptBytes || g.promptTokens > spec.MaxPromptTokens {
		return badRequest("prompt_too_long", "the prompt is longer than the model takes")
	}
	g.maxTokens = spec.MaxOutputTokens
	if req.MaxTokens > 0 {
		g.maxTokens = min(req.MaxTokens, spec.MaxOutputTokens)
	}
	return nil
}

// modelAllowed reports whether the workspace may use the model. An empty list
// allows all models.
func modelAllowed(w resource.WorkspaceSpec, model string) bool {
	return len(w.Models) == 0 || slices.Contains(w.Models, model)
}

func hasAdapter(m resource.ModelSpec, adapter string) bool {
	if adapter == "" {
		return true
	}
	return slices.ContainsFunc(m.Adapters, func(a resource.AdapterSpec) bool { return a.Name == adapter })
}

// admitAndGenerate reserves tokens of the workspace's quota, waits for admission by
// the model's queue, runs the generation, and settles both reservations with the
// actual consumption.
func (s *Server) admitAndGenerate(ctx context.Context, g *generation) error {
	if err := g.checkPrompt(); err != nil {
		return err
	}
	reservation, err := s.opts.Quota.Reserve(ctx, g.caller.Workspace, g.caller.Spec, int64(g.promptTokens+g.maxTokens))
	if err != nil {
		return err
	}
	defer func() { reservation.Settle(g.consumedTokens()) }()
	queueCtx, cancel := context.WithTimeout(ctx, s.opts.Timeouts.Queue)
	defer cancel()
	g.ticket, err = s.opts.Queue.Admit(queueCtx, g.model, queue.Item{
		Workspace:    g.caller.Workspace,
		Class:        g.class,
		Weight:       g.caller.Spec.Weight,
		PromptTokens: int64(g.promptTokens),
		CachedTokens: int64(s.opts.Router.PredictCachedTokens(time.Now(), g.routeRequest())),
		OutputTokens: int64(g.maxTokens),
	})
	if err != nil {
		return err
	}
	defer func() { g.ticket.Release(int64(g.deliveredTokens)) }()
	if err := reservation.Start(ctx); err != nil {
		return err
	}
	defer s.recordUsage(g)
	return g.run(ctx)
}

// recordUsage reports the consumption of a billable generation.
func (s *Server) recordUsage(g *generation) {
	if !g.billable() {
		return
	}
	s.opts.Usage.Add(g.caller.Workspace, g.model, int64(g.promptTokens), int64(g.deliveredTokens), int64(g.cachedTokens), 1)
}

// hashPrompt computes the hashes of the prompt's blocks once.
func (g *generation) hashPrompt() {
	if g.prefixHashes == nil {
		g.prefixHashes = backing.PrefixHashes(g.model, g.prompt)
	}
}

// routeRequest returns the routing parameters of the next attempt.
func (g *generation) routeRequest() *route.Request {
	g.hashPrompt()
	return &route.Request{
		Model:        g.model,
		Adapter:      g.adapter,
		Prefix:       g.prefixHashes,
		PromptTokens: g.promptTokens,
		MaxTokens:    g.maxTokens - g.deliveredTokens,
		Priority:     enginePriority(g.class),
		Domain:       g.server.opts.Domain,
		Exclude:      g.excluded,
	}
}
