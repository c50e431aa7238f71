package node

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"

	"github.com/acacialink/acacialink/internal/agent"
	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/bodybudget"
	"github.com/acacialink/acacialink/internal/certs"
	"github.com/acacialink/acacialink/internal/observe"
	"github.com/acacialink/acacialink/internal/order"
	"github.com/acacialink/acacialink/internal/rpc"
	"github.com/acacialink/acacialink/internal/rpc/wire"
	"github.com/acacialink/acacialink/internal/settings"
)

// Agent is an agent process. It connects entry hosts to one endpoint.
type Agent struct {
	settings  settings.Agent
	log       *slog.Logger
	agent     *agent.Agent
	server    *rpc.Server
	registry  *observe.Registry
	listener  *deliveryListener
	operators net.Listener
	// answers bounds the answers of the endpoint, the store and other agents.
	answers  *bodybudget.Shares
	draining drainState
}

// NewAgent creates an agent and opens its listeners. Run serves them.
func NewAgent(ctx context.Context, s settings.Agent, source certs.Source, log *slog.Logger) (*Agent, error) {
	a := &Agent{settings: s, log: log, registry: observe.NewRegistry(observe.Identity{Process: s.Name, Role: "agent", Domain: s.Domain})}
	a.answers = bodybudget.NewShares(s.Limits.AnswerBytes)
	a.agent = agent.New(agentOptions(s, source, a.answers))
	mux := drpcmux.New()
	if err := wire.DRPCRegisterAgent(mux, a.agent); err != nil {
		return nil, errors.Wrap(err, "register agent")
	}
	options := agentRPCOptions(s, a.answers)
	options.Log = log
	a.server = rpc.NewServer(mux, certs.ServerTLS(source, certs.RoleEntry, certs.RoleAgent), options)
	a.registry.RegisterState("agent", func() any { return a.agent.State(0) })
	a.registerMetrics()
	if err := a.listen(ctx); err != nil {
		return nil, err
	}
	return a, nil
}

// agentOptions returns the options for the type of endpoint in the settings.
func agentOptions(s settings.Agent, source certs.Source, answers *bodybudget.Shares) agent.Options {
	fromEndpoint := backing.WithAnswers(answers, s.Name)
	options := agent.Options{
		Endpoint:     s.Name,
		Domain:       s.Domain,
		Incarnation:  observe.NewRequestID(),
		MaxInFlight:  s.Limits.Streams,
		CacheEvents:  s.Limits.CacheEvents,
		CallTimeout:  s.Timeouts.Call.Std(),
		LoadInterval: s.Timeouts.LoadInterval.Std(),
		RPC:          agentRPCOptions(s, answers),
	}
	if s.Endpoint.Type == "service" {
		options.Service = backing.NewHTTPService(s.Endpoint.URL, nil, fromEndpoint, backing.WithMaxAnswer(s.Limits.ResponseBytes))
		return options
	}
	options.Engine = backing.NewHTTPEngine(s.Endpoint.URL, nil, fromEndpoint, backing.WithMaxAnswer(s.Limits.KVBytes))
	store := backing.NewHTTPStore(s.Store, nil, backing.WithAnswers(answers, storeSender))
	options.Orders = order.NewGate(s.Name, store, options.Engine, s.Timeouts.Order.Std())
	options.KV = &rpc.KVFetcher{
		Dialer: func(endpoint string) *rpc.Dialer {
			return rpc.NewDialer(certs.ClientTLS(source, certs.RoleAgent, endpoint), agentRPCOptions(s, answers))
		},
		MaxBytes: int(s.Limits.KVBytes),
		Answers:  answers,
	}
	return options
}

// agentRPCOptions returns the RPC limits and timeouts of an agent.
func agentRPCOptions(s settings.Agent, answers *bodybudget.Shares) rpc.Options {
	return rpc.Options{
		HeartbeatInterval: s.Timeouts.Heartbeat.Std(),
		SilenceTimeout:    s.Timeouts.SilenceTimeout.Std(),
		DialTimeout:       s.Timeouts.Dial.Std(),
		MaxMessageBytes:   int(s.Limits.MessageBytes),
		MaxStreams:        s.Limits.Streams,
		MaxConns:          s.Limits.Connections,
		MaxOutboxBytes:    int(s.Limits.SessionQueueBytes),
		Answers:           answers,
		Sender:            s.Name,
	}
}

// Senders of answers that are no endpoints. Names of endpoints hold no space.
const (
	storeSender     = "platform store"
	hostListSender  = "platform host list"
	providerSender  = "platform provider"
	usageSinkSender = "platform usage sink"
)

// registerMetrics registers the process's gauges.
func (a *Agent) registerMetrics() {
	stats := a.agent.Stats()
	a.registry.NewGauge("generations", func() any { return stats.Generations.Load() })
	a.registry.NewGauge("calls", func() any { return stats.Calls.Load() })
	a.registry.NewGauge("refused", func() any { return stats.Refused.Load() })
	a.registry.NewGauge("failed", func() any { return stats.Failed.Load() })
	a.registry.NewGauge("answers_cut", func() any { return stats.AnswersCut.Load() })
	a.registry.NewGauge("answers_too_long", func() any { return stats.AnswersTooLong.Load() })
	a.registry.NewGauge("answer_bytes", func() any { return a.answers.Reserved() })
	a.registry.NewGauge("kv_bytes_pulled", func() any { return stats.PulledKVBytes.Load() })
	a.registry.NewGauge("tokens", func() any { return stats.GeneratedTokens.Load() })
}

func (a *Agent) listen(ctx context.Context) error {
	inner, err := listen(ctx, a.settings.Listen)
	if err != nil {
		return err
	}
	a.listener = newDeliveryListener(inner)
	if a.operators, err = listen(ctx, a.settings.OperatorListen); err != nil {
		_ = a.listener.Close()
		return err
	}
	return nil
}

// Addr returns the address that entry hosts connect to.
func (a *Agent) Addr() string { return a.listener.Addr().String() }

// OperatorAddr returns the address that serves metrics and state dumps.
func (a *Agent) OperatorAddr() string { return a.operators.Addr().String() }

// Run serves until ctx ends and then drains: it refuses new work, waits for running
// work up to the drain timeout, and then closes the listeners.
func (a *Agent) Run(ctx context.Context) error {
	authenticator, err := observe.NewAuthenticator(authOperators(a.settings.Operators))
	if err != nil {
		return errors.Wrap(err, "operators")
	}
	root, _ := observe.NewOperatorMux(a.registry, authenticator, &a.draining)
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group errgroup.Group
	group.Go(func() error { return a.server.Serve(serving, a.listener) })
	group.Go(func() error {
		return serveHTTP(serving, &http.Server{Handler: root, ReadHeaderTimeout: headerTimeout}, a.operators)
	})
	group.Go(func() error { a.agent.Run(serving); return nil })
	a.log.Info("agent started", "endpoint", a.settings.Name, "address", a.Addr())
	group.Go(func() error {
		defer stop()
		select {
		case <-ctx.Done():
		case <-serving.Done():
			return nil
		}
		a.drain(serving)
		return nil
	})
	return group.Wait()
}

// drain refuses new work and waits until running work has completed and entry hosts have
// received its answers, or the drain timeout has passed.
func (a *Agent) drain(ctx context.Context) {
	a.draining.start()
	a.log.Info("drain started", "endpoint", a.settings.Name)
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, a.settings.Timeouts.Drain.Std())
	defer cancel()
	remaining := a.agent.Drain(ctx)
	a.listener.await(ctx)
	a.log.Info("drain finished", "endpoint", a.settings.Name, "requests_left", remaining, "duration_ms", time.Since(started).Milliseconds())
}
