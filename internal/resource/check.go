package resource

import (
	"fmt"
	"net/http"
	"net/netip"
	"path"
	"regexp"
	"slices"
	"strings"
)

// PolicyName is the name of the only policy.
const PolicyName = "default"

// Priorities are the queue classes of routes, the most urgent first.
func Priorities() []string { return []string{"interactive", "standard", "batch"} }

// maxWeight bounds a workspace's share.
const maxWeight = 1000

var hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

func (s *WorkspaceSpec) check(c *checker) {
	c.require(s.RateTokens > 0, "spec.rate_tokens", "must be above zero")
	c.require(s.BurstTokens > 0, "spec.burst_tokens", "must be above zero")
	c.require(s.Weight >= 0 && s.Weight <= maxWeight, "spec.weight", "must be from 0 to %d", maxWeight)
	c.unique("spec.models", s.Models)
}

func (s *WorkspaceSpec) references() []Reference { return eachOf("spec.models", KindModel, s.Models) }

func (s *KeySpec) check(c *checker) {
	c.require(s.Workspace != "", "spec.workspace", "is required")
	c.require(hashPattern.MatchString(s.SHA256), "spec.sha256", "must be a SHA-256 in lower-case hex")
}

// references leaves out those of a revoked key, which outlives its workspace.
func (s *KeySpec) references() []Reference {
	if s.Revoked {
		return nil
	}
	return []Reference{{Path: "spec.workspace", Kind: KindWorkspace, Name: s.Workspace}}
}

func (s *ModelSpec) check(c *checker) {
	c.require(s.Version != "", "spec.version", "is required")
	c.require(s.MaxPromptTokens > 0, "spec.max_prompt_tokens", "must be above zero")
	c.require(s.MaxOutputTokens > 0, "spec.max_output_tokens", "must be above zero")
	seen := map[string]bool{}
	for i, a := range s.Adapters {
		at := fmt.Sprintf("spec.adapters[%d].", i)
		c.require(namePattern.MatchString(a.Name), at+"name", nameRule)
		c.require(!seen[a.Name], at+"name", "%q stands twice", a.Name)
		c.require(a.Version != "", at+"version", "is required")
		seen[a.Name] = true
	}
}

func (s *ModelSpec) references() []Reference { return nil }

func (s *DomainSpec) check(c *checker) {
	c.require(s.Region != "", "spec.region", "is required")
	for _, name := range sortedNames(s.Distance) {
		c.require(s.Distance[name] >= 0, "spec.distance_us."+name, "must not be below zero")
	}
}

func (s *DomainSpec) references() []Reference {
	var list []Reference
	for _, name := range sortedNames(s.Distance) {
		list = append(list, Reference{Path: "spec.distance_us." + name, Kind: KindDomain, Name: name})
	}
	return list
}

func (s *PoolSpec) check(c *checker) {
	c.require(s.Model != "", "spec.model", "is required")
	c.require(len(s.Domains) > 0, "spec.domains", "must name a failure domain")
	c.unique("spec.domains", s.Domains)
	c.require(s.Min >= 0, "spec.min", "must not be below zero")
	c.require(s.Max >= s.Min, "spec.max", "must not be below min")
	c.require(s.BudgetHours >= 0, "spec.budget_hours", "must not be below zero")
	c.require(s.PrefillTokens > 0, "spec.prefill_tokens", "must be above zero")
	c.require(s.DecodeTokens > 0, "spec.decode_tokens", "must be above zero")
	c.require(s.StartSeconds >= 0, "spec.start_seconds", "must not be below zero")
}

func (s *PoolSpec) references() []Reference {
	model := Reference{Path: "spec.model", Kind: KindModel, Name: s.Model}
	return append([]Reference{model}, eachOf("spec.domains", KindDomain, s.Domains)...)
}

func (s *EndpointSpec) check(c *checker) {
	c.require(s.Kind == EndpointEngine || s.Kind == EndpointService, "spec.type", "must be %q or %q", EndpointEngine, EndpointService)
	c.require(s.Domain != "", "spec.domain", "is required")
	_, err := netip.ParseAddrPort(s.Agent)
	c.require(err == nil, "spec.agent", "must be an IP address and port")
	engine := s.Kind == EndpointEngine
	c.require(engine || s.Service != "", "spec.service", "is required for a service")
	c.require(!engine || s.Service == "", "spec.service", "must be empty for an engine")
	c.require(engine || s.Pool == "", "spec.pool", "must be empty for a service")
	c.require(engine || len(s.Models) == 0, "spec.models", "must be empty for a service")
	c.unique("spec.models", s.Models)
}

func (s *EndpointSpec) references() []Reference {
	list := []Reference{{Path: "spec.domain", Kind: KindDomain, Name: s.Domain}}
	if s.Pool != "" {
		list = append(list, Reference{Path: "spec.pool", Kind: KindPool, Name: s.Pool})
	}
	return append(list, eachOf("spec.models", KindModel, s.Models)...)
}

// reservedPrefixes are the callers' paths that the system serves itself.
func reservedPrefixes() []string { return []string{"/v1", "/healthz", "/readyz", "/debug"} }

func (s *RouteSpec) check(c *checker) {
	clean := strings.HasPrefix(s.Prefix, "/") && path.Clean(s.Prefix) == s.Prefix && s.Prefix != "/"
	c.require(clean, "spec.prefix", "must be a clean path that begins with a slash and does not end with one")
	for _, p := range reservedPrefixes() {
		c.require(s.Prefix != p && !strings.HasPrefix(s.Prefix, p+"/"), "spec.prefix", "%s is reserved", p)
	}
	c.require(s.Service != "", "spec.service", "is required")
	for i, m := range s.Methods {
		c.require(slices.Contains(routeMethods(), m), fmt.Sprintf("spec.methods[%d]", i), "must be one of %v", routeMethods())
	}
	c.unique("spec.methods", s.Methods)
	known := s.Priority == "" || slices.Contains(Priorities(), s.Priority)
	c.require(known, "spec.priority", "must be one of %v", Priorities())
	c.require(s.TimeoutMillis >= 0, "spec.timeout_ms", "must not be below zero")
	c.require(!s.Open || !s.AtMostOnce, "spec.open", "an open route has no workspace to claim at-most-once calls for")
}

func (s *RouteSpec) references() []Reference { return nil }

func routeMethods() []string {
	return []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete}
}

func (s *PolicySpec) check(c *checker) {
	c.require(s.GoodputWeight >= 0, "spec.goodput_weight", "must not be below zero")
	c.require(s.FairnessWeight >= 0, "spec.fairness_weight", "must not be below zero")
	c.require(s.CostWeight >= 0, "spec.cost_weight", "must not be below zero")
	c.require(s.GoodputWeight+s.FairnessWeight+s.CostWeight > 0, "spec", "at least one weight must be above zero")
	c.require(s.RoleFloor >= 0, "spec.role_floor", "must not be below zero")
	c.require(s.HeadroomDomains >= 0, "spec.headroom_domains", "must not be below zero")
}

func (s *PolicySpec) references() []Reference { return nil }

func eachOf(at string, kind Kind, names []string) []Reference {
	list := make([]Reference, len(names))
	for i, name := range names {
		list[i] = Reference{Path: fmt.Sprintf("%s[%d]", at, i), Kind: kind, Name: name}
	}
	return list
}

func sortedNames(m map[string]int64) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
