package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/catalog"
	"github.com/acacialink/acacialink/internal/verdict"
)

const (
	// unreadyRetryAfter is the Retry-After of refusals by a host that cannot
	// serve yet. The retry reaches another host.
	unreadyRetryAfter = 100 * time.Millisecond
	// defaultTimeout is the request timeout on routes that configure none.
	defaultTimeout = 30 * time.Second
)

// admit resolves the route, workspace, deadline and service of the request. A
// request that it refuses has not run.
func (req *request) admit() error {
	cache := req.gateway.opts.Catalog
	req.catalog = cache.Current()
	age, _ := cache.Age()
	req.configAge = age
	fresh := cache.Fresh()
	if req.catalog == nil {
		return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "no_configuration", "this host knows no configuration yet").After(unreadyRetryAfter)
	}
	route, ok := req.catalog.Route(req.call.Host, req.call.Path)
	if !ok {
		if !fresh {
			return errStaleConfiguration()
		}
		return verdict.New(verdict.NotRun, http.StatusNotFound, "no_route", "no route matches the request")
	}
	req.route = route
	if req.catalog.RequiresKeys() && !route.Public {
		// Every host must refuse a removed key, so a host that cannot confirm
		// that its configuration is current accepts no key.
		if !fresh {
			return errStaleConfiguration()
		}
		workspace, ok := req.catalog.Workspace(req.call.Key)
		if !ok {
			return verdict.New(verdict.NotRun, http.StatusUnauthorized, "unknown_key", "the key is not known")
		}
		req.workspace = workspace
	}
	timeout := route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if req.call.MaxWait > 0 {
		timeout = min(timeout, req.call.MaxWait)
	}
	req.deadline = req.start.Add(timeout)
	req.service = req.catalog.Services[pickService(route.Services)]
	if req.service == nil {
		return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "no_service", "the route's service is not configured").After(unreadyRetryAfter)
	}
	return req.mayBegin()
}

func errStaleConfiguration() error {
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "stale_configuration",
		"this host cannot confirm its configuration").After(unreadyRetryAfter)
}

// pickService selects a service at random, in proportion to the weights.
func pickService(services []catalog.WeightedService) string {
	total := 0.0
	for _, s := range services {
		total += max(0, s.Weight)
	}
	point := rand.Float64() * total
	for _, s := range services {
		if point -= max(0, s.Weight); point < 0 {
			return s.Service
		}
	}
	if len(services) == 0 {
		return ""
	}
	return services[0].Service
}

// maxQuotaWait bounds the wait of a request for tokens of its workspace's rate
// limit. A short wait costs the caller less than a refusal and a retry.
const maxQuotaWait = 120 * time.Millisecond

// waitForQuota reserves the request's tokens and waits for them if they become
// available within maxQuotaWait. Otherwise it returns false and the delay after
// which the caller should retry.
func (req *request) waitForQuota(ctx context.Context) (time.Duration, bool) {
	deadline := time.Now().Add(min(maxQuotaWait, req.remaining()/4))
	for {
		retry, ok := req.reserveQuota()
		if ok || time.Now().Add(retry).After(deadline) || !backing.Pause(ctx, retry) {
			return retry, ok
		}
	}
}

// reserveQuota reserves the request's tokens. It returns false and a retry
// delay if the workspace is over its rate limit.
func (req *request) reserveQuota() (time.Duration, bool) {
	if req.workspace == nil {
		return 0, true
	}
	req.reservedTokens = req.workspace.DefaultTokens
	if req.call.HasTokens {
		req.reservedTokens = int64(req.call.PromptTokens + req.call.MaxOutputTokens)
	}
	req.reservedAt = time.Now()
	return req.gateway.opts.Quota.Reserve(req.reservedAt, req.workspace, req.reservedTokens)
}

// refundQuota returns the reserved tokens of a request that did not run.
func (req *request) refundQuota() {
	if req.workspace != nil {
		req.gateway.opts.Quota.Refund(time.Now(), req.reservedAt, req.workspace.Name, req.reservedTokens)
	}
}

// recordUsage counts the request for its workspace, once per request, when it
// starts to run.
func (req *request) recordUsage() {
	if req.usageCounted {
		return
	}
	req.usageCounted = true
	if req.workspace != nil {
		req.gateway.opts.Usage.RecordStart(req.workspace.Name)
	}
}

const (
	// ranksPerWorkspace is the number of route ranks within one workspace rank.
	ranksPerWorkspace = 3
	// lateRankPenalty is added to the rank of requests that are predicted to
	// miss their latency target, so that requests that can still meet theirs
	// run first.
	lateRankPenalty = 3
)

// rank returns the request's position in an engine's queue, 0 first. The
// workspace's priority takes precedence over the route's.
func (req *request) rank() int {
	rank := min(max(0, req.route.Priority), ranksPerWorkspace-1)
	if req.workspace != nil && req.workspace.Priority > 0 {
		rank += ranksPerWorkspace * req.workspace.Priority
	}
	if req.predictedLate {
		rank += lateRankPenalty
	}
	return rank
}

func (req *request) workspaceName() string {
	if req.workspace == nil {
		return ""
	}
	return req.workspace.Name
}

// remaining returns the time until the request's deadline.
func (req *request) remaining() time.Duration { return time.Until(req.deadline) }
