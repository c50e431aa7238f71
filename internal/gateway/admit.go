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
	// retryUnready is when to ask again after a refusal by a host that may not
	// serve yet; the next try reaches another host.
	retryUnready = 100 * time.Millisecond
	// defaultTimeout bounds requests on routes without a limit.
	defaultTimeout = 30 * time.Second
)

// admit finds the route and the workspace of the request.
func (q *request) admit() error {
	h := q.g.o.Catalog
	q.catalog = h.Current()
	age, _ := h.Age()
	q.age = age
	fresh := h.Fresh()
	if q.catalog == nil {
		return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "no_configuration", "this host knows no configuration yet").After(retryUnready)
	}
	route, ok := q.catalog.Route(q.call.Host, q.call.Path)
	if !ok {
		if !fresh {
			return errStale()
		}
		return verdict.New(verdict.NotRun, http.StatusNotFound, "no_route", "no route matches the request")
	}
	q.route = route
	if q.catalog.Keyed() && !route.Public {
		// A removed key must be refused by every host, so a host that cannot
		// show that its configuration is current trusts no key.
		if !fresh {
			return errStale()
		}
		w, ok := q.catalog.Workspace(q.call.Key)
		if !ok {
			return verdict.New(verdict.NotRun, http.StatusUnauthorized, "unknown_key", "the key is not known")
		}
		q.workspace = w
	}
	limit := route.Timeout
	if limit <= 0 {
		limit = defaultTimeout
	}
	if q.call.Patience > 0 {
		limit = min(limit, q.call.Patience)
	}
	q.until = q.begun.Add(limit)
	q.service = q.catalog.Services[pick(route.Services)]
	if q.service == nil {
		return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "no_service", "the route's service is not configured").After(retryUnready)
	}
	return q.admitWhileEnding()
}

const (
	// streamTime and plainTime are what a stream and a plain request may take:
	// with less than that left to the process they are refused, since another
	// host can finish them.
	streamTime = 5 * time.Second
	plainTime  = 1500 * time.Millisecond
)

// admitWhileEnding refuses what the process would break off at its end.
func (q *request) admitWhileEnding() error {
	left, ending := q.g.o.Ending()
	need := plainTime
	if q.route.Kind == catalog.Stream {
		need = streamTime
	}
	if !ending || left >= need {
		return nil
	}
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "host_ending", "this host is about to end").After(retryUnready)
}

func errStale() error {
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "stale_configuration",
		"this host cannot confirm its configuration").After(retryUnready)
}

// pick draws a service by weight.
func pick(services []catalog.WeightedService) string {
	total := 0.0
	for _, s := range services {
		total += max(0, s.Weight)
	}
	at := rand.Float64() * total
	for _, s := range services {
		if at -= max(0, s.Weight); at < 0 {
			return s.Service
		}
	}
	if len(services) == 0 {
		return ""
	}
	return services[0].Service
}

// quotaWait is how long a request waits for tokens of its workspace's rate: a
// short wait serves a caller better than a refusal and another try.
const quotaWait = 120 * time.Millisecond

// waitQuota reserves the request's tokens, waiting for them if they will be
// there soon; else it says when to ask again.
func (q *request) waitQuota(ctx context.Context) (time.Duration, bool) {
	until := time.Now().Add(min(quotaWait, q.left()/4))
	for {
		retry, ok := q.takeQuota()
		if ok || time.Now().Add(retry).After(until) || !backing.Pause(ctx, retry) {
			return retry, ok
		}
	}
}

// takeQuota reserves the request's tokens.
func (q *request) takeQuota() (time.Duration, bool) {
	if q.workspace == nil {
		return 0, true
	}
	q.tokens = q.workspace.PlainTokens
	if q.call.HasTokens {
		q.tokens = int64(q.call.Prompt + q.call.Output)
	}
	q.taken = time.Now()
	return q.g.o.Quota.Take(q.taken, q.workspace, q.tokens)
}

func (q *request) giveQuota() {
	if q.workspace != nil {
		q.g.o.Quota.Give(time.Now(), q.taken, q.workspace.Name, q.tokens)
	}
}

// began counts the request for its workspace once it runs.
func (q *request) began() {
	if q.counted {
		return
	}
	q.counted = true
	if q.workspace != nil {
		q.g.o.Usage.Began(q.workspace.Name)
	}
}

const (
	// routeRanks is the number of ranks that routes have within a workspace's.
	routeRanks = 3
	// lateRank is added to requests that will miss their target: those that
	// can still be in time go first.
	lateRank = 3
)

// rank orders requests at an engine, 0 first: the workspace's rank goes before
// the route's.
func (q *request) rank() int {
	rank := min(max(0, q.route.Priority), routeRanks-1)
	if q.workspace != nil && q.workspace.Priority > 0 {
		rank += routeRanks * q.workspace.Priority
	}
	if q.late {
		rank += lateRank
	}
	return rank
}

func (q *request) workspaceName() string {
	if q.workspace == nil {
		return ""
	}
	return q.workspace.Name
}

// left is the time until the request must have been answered.
func (q *request) left() time.Duration { return time.Until(q.until) }
