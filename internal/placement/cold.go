package placement

import (
	"time"

	"github.com/acacialink/acacialink/internal/endpoint"
	"github.com/acacialink/acacialink/internal/pace"
)

const (
	// hostMemory is how long a host counts among those that share cold endpoints after it was
	// last listed: entries of live hosts may lapse together while the store is down.
	hostMemory = 30 * time.Second
	// hostListingTime is the time from the first view of the hosts on in which the view may
	// lack hosts that start at the same time.
	hostListingTime = 3 * time.Second
	// coldCostAtRate is costAtRate for cold endpoints. It only spreads requests over those that
	// are cold: the bound is kept without it.
	coldCostAtRate = 100 * time.Millisecond
)

// ColdService describes the endpoints of a service that bear few requests while they are cold.
type ColdService struct {
	Bound pace.ColdBound
	// Time is how long an endpoint is cold after its start.
	Time time.Duration
}

// SetColdServices sets the services whose endpoints bear few requests while they are cold, by
// name.
func (t *Tracker) SetColdServices(services map[string]ColdService) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.coldServices = services
}

// DomainReturned records that the endpoints of a failure domain get work again. They may be
// cold though their entries do not say so yet.
func (t *Tracker) DomainReturned(now time.Time, domain string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.returned[domain] = now
}

// coldCounts returns the counts of the requests to an endpoint whose service has cold
// endpoints; nil for others. They are kept before it is cold, too: requests that were sent
// just before count. The caller holds mu.
func (t *Tracker) coldCounts(e *endpoint.Endpoint) *pace.Cold {
	if _, ok := t.coldServices[e.Service]; !ok {
		return nil
	}
	counts := t.cold[e.ID]
	if counts == nil {
		counts = new(pace.Cold)
		t.cold[e.ID] = counts
	}
	return counts
}

// isCold reports whether an endpoint is cold, or may be, and what it then bears. The caller
// holds mu.
func (t *Tracker) isCold(now time.Time, e *endpoint.Endpoint) (pace.ColdBound, bool) {
	service, ok := t.coldServices[e.Service]
	if !ok {
		return pace.ColdBound{}, false
	}
	until := e.ColdUntil
	if at, ok := t.returned[e.Domain]; ok {
		until = later(until, at.Add(service.Time))
	}
	return service.Bound, now.Before(until)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// coldWait returns the time after which this host may send a request to an endpoint that is
// cold, and whether it is. The caller holds mu.
func (t *Tracker) coldWait(now time.Time, e *endpoint.Endpoint) (wait time.Duration, cold bool) {
	bound, cold := t.isCold(now, e)
	if !cold {
		return 0, false
	}
	if left := hostListingTime - now.Sub(t.fleet.since); left > 0 {
		return left, true
	}
	return t.coldCounts(e).Wait(now, bound, t.sharedBy(e)), true
}

// coldCost returns the cost of one request of those that a cold endpoint takes. The caller
// holds mu.
func (t *Tracker) coldCost(now time.Time, e *endpoint.Endpoint) time.Duration {
	bound, cold := t.isCold(now, e)
	if !cold {
		return 0
	}
	use := t.coldCounts(e).Use(now, bound)
	return time.Duration(float64(coldCostAtRate) / bound.PerSecond * use * use)
}

// ColdNow returns the number of endpoints that are cold.
func (t *Tracker) ColdNow(now time.Time, endpoints []*endpoint.Endpoint) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, e := range endpoints {
		if _, cold := t.isCold(now, e); cold {
			n++
		}
	}
	return n
}
