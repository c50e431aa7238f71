package host

import (
	"time"

	"github.com/acacialink/acacialink/internal/catalog"
	"github.com/acacialink/acacialink/internal/endpoint"
	"github.com/acacialink/acacialink/internal/observe"
	"github.com/acacialink/acacialink/internal/pace"
	"github.com/acacialink/acacialink/internal/peer"
	"github.com/acacialink/acacialink/internal/placement"
)

// rateStated records the rate that an endpoint stated. The other hosts are told of a change
// at once.
func (h *Host) rateStated(e *endpoint.Endpoint, s endpoint.Statement) {
	if s.RateErr != nil {
		h.statements.Add("invalid", 1)
		h.opts.Log.Debug("endpoint stated an invalid rate", observe.FieldEndpoint, e.ID, observe.FieldError, s.RateErr)
		return
	}
	if !h.tracker.Stated(time.Now(), e, s.PerSecond) {
		return
	}
	h.statements.Add("changed", 1)
	h.opts.Log.Info("endpoint stated its rate", observe.FieldEndpoint, e.ID, "service", e.Service, "per_second", s.PerSecond)
	h.group.TriggerExchange()
}

// coldServices returns the services of a configuration whose endpoints bear few requests while
// they are cold.
func (h *Host) coldServices(c *catalog.Catalog) map[string]placement.ColdService {
	s, out := h.opts.Settings, make(map[string]placement.ColdService)
	for name, service := range c.Services {
		if service.ColdRate > 0 {
			most := service.ColdRate*max(1, s.ColdOverage) + s.ColdSlack
			out[name] = placement.ColdService{Bound: pace.ColdBound{PerSecond: service.ColdRate, Most: most}, Time: service.ColdTime}
		}
	}
	return out
}

// coldEndpoints returns the number of endpoints that are cold.
func (h *Host) coldEndpoints() int {
	n := 0
	if c := h.catalog.Current(); c != nil {
		for name, service := range c.Services {
			if service.ColdRate > 0 {
				n += h.tracker.ColdNow(time.Now(), h.endpoints.Service(name))
			}
		}
	}
	return n
}

// shareRates tells the tracker which hosts share the rates of endpoints.
func (h *Host) shareRates(state peer.State) {
	self := h.opts.Settings.Name
	others := h.directory.Others()
	names := append(make([]string, 0, len(others)+1), self)
	for name := range others {
		names = append(names, name)
	}
	h.tracker.SetHosts(time.Now(), self, names, len(state.Unreachable) == 0 && (len(others) == 0 || len(state.Reachable) > 0))
}
