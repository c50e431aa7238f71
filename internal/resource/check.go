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

// PolicyName is the required name of the policy; there is exactly one.
const PolicyName = "default"

// Priorities returns the queue classes of routes, the most urgent first.
func Priorities() []string { return []string{"interactive", "standard", "batch"} }

// maxWorkspaceWeight is the largest WorkspaceSpec.Weight.
const maxWorkspaceWeight = 1000

var sha256Pattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

func (s *WorkspaceSpec) validate(c *checker) {
	c.require(s.RateTokens > 0, "spec.rate_tokens", "must be above zero")
	c.require(s.BurstTokens > 0, "spec.burst_tokens", "must be above zero")
	c.require(s.Weight >= 0 && s.Weight <= maxWorkspaceWeight, "spec.weight", "must be from 0 to %d", maxWorkspaceWeight)
	c.requireUnique("spec.models", s.Models)
}

func (s *WorkspaceSpec) references() []Reference {
	return referencesTo("spec.models", KindModel, s.Models)
}

func (s *KeySpec) validate(c *checker) {
	c.require(s.Workspace != "", "spec.workspace", "is required")
	c.require(sha256Pattern.MatchString(s.SHA256), "spec.sha256", "must be a SHA-256 in lower-case hex")
}

// references returns nothing for a revoked key, because it remains after its
// workspace is deleted.
func (s *KeySpec) references() []Reference {
	if s.Revoked {
		return nil
	}
	return []Reference{{Path: "spec.workspace", Kind: KindWorkspace, Name: s.Workspace}}
}

func (s *ModelSpec) validate(c *checker) {
	c.require(s.Version != "", "spec.version", "is required")
	c.require(s.MaxPromptTokens > 0, "spec.max_prompt_tokens", "must be above zero")
	c.require(s.MaxOutputTokens > 0, "spec.max_output_tokens", "must be above zero")
	seen := map[string]bool{}
	for i, adapter := range s.Adapters {
		field := fmt.Sprintf("spec.adapters[%d].", i)
		c.require(namePattern.MatchString(adapter.Name), field+"name", nameRule)
		c.require(!seen[adapter.Name], field+"name", "%q stands twice", adapter.Name)
		c.require(adapter.Version != "", field+"version", "is required")
		seen[adapter.Name] = true
	}
}

func (s *ModelSpec) references() []Reference { return nil }

func (s *DomainSpec) validate(c *checker) {
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

func (s *PoolSpec) validate(c *checker) {
	c.require(s.Model != "", "spec.model", "is required")
	c.require(len(s.Domains) > 0, "spec.domains", "must name a failure domain")
	c.requireUnique("spec.domains", s.Domains)
	c.require(s.Min >= 0, "spec.min", "must not be below zero")
	c.require(s.Max >= s.Min, "spec.max", "must not be below min")
	c.require(s.BudgetHours >= 0, "spec.budget_hours", "must not be below zero")
	c.require(s.PrefillTokens > 0, "spec.prefill_tokens", "must be above zero")
	c.require(s.DecodeTokens > 0, "spec.decode_tokens", "must be above zero")
	c.require(s.StartSeconds >= 0, "spec.start_seconds", "must not be below zero")
}

func (s *PoolSpec) references() []Reference {
	model := Reference{Path: "spec.model", Kind: KindModel, Name: s.Model}
	return append([]Reference{model}, referencesTo("spec.domains", KindDomain, s.Domains)...)
}

func (s *EndpointSpec) validate(c *checker) {
	c.require(s.Kind == EndpointEngine || s.Kind == EndpointService, "spec.type", "must be %q or %q", EndpointEngine, EndpointService)
	c.require(s.Domain != "", "spec.domain", "is required")
	_, err := netip.ParseAddrPort(s.Agent)
	c.require(err == nil, "spec.agent", "must be an IP address and port")
	engine := s.Kind == EndpointEngine
	c.require(engine || s.Service != "", "spec.service", "is required for a service")
	c.require(!engine || s.Service == "", "spec.service", "must be empty for an engine")
	c.require(engine || s.Pool == "", "spec.pool", "must be empty for a service")
	c.require(engine || len(s.Models) == 0, "spec.models", "must be empty for a service")
	c.requireUnique("spec.models", s.Models)
}

func (s *EndpointSpec) references() []Reference {
	list := []Reference{{Path: "spec.domain", Kind: KindDomain, Name: s.Domain}}
	if s.Pool != "" {
		list = append(list, Reference{Path: "spec.pool", Kind: KindPool, Name: s.Pool})
	}
	return append(list, referencesTo("spec.models", KindModel, s.Models)...)
}

// reservedPrefixes returns the path prefixes that the system itself serves to
// callers.
func reservedPrefixes() []string { return []string{"/v1", "/healthz", "/readyz", "/debug"} }

func (s *RouteSpec) validate(c *checker) {
	clean := strings.HasPrefix(s.Prefix, "/") && path.Clean(s.Prefix) == s.Prefix && s.Prefix != "/"
	c.require(clean, "spec.prefix", "must be a clean path that begins with a slash and does not end with one")
	for _, reserved := range reservedPrefixes() {
		c.require(s.Prefix != reserved && !strings.HasPrefix(s.Prefix, reserved+"/"), "spec.prefix", "%s is reserved", reserved)
	}
	c.require(s.Service != "", "spec.service", "is required")
	for i, method := range s.Methods {
		c.require(slices.Contains(routeMethods(), method), fmt.Sprintf("spec.methods[%d]", i), "must be one of %v", routeMethods())
	}
	c.requireUnique("spec.methods", s.Methods)
	known := s.Priority == "" || slices.Contains(Priorities(), s.Priority)
	c.require(known, "spec.priority", "must be one of %v", Priorities())
	c.require(s.TimeoutMillis >= 0, "spec.timeout_ms", "must not be below zero")
	c.require(!s.Open || !s.AtMostOnce, "spec.open", "an open route has no workspace to claim at-most-once calls for")
}

func (s *RouteSpec) references() []Reference { return nil }

func routeMethods() []string {
	return []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete}
}

func (s *PolicySpec) validate(c *checker) {
	c.require(s.GoodputWeight >= 0, "spec.goodput_weight", "must not be below zero")
	c.require(s.FairnessWeight >= 0, "spec.fairness_weight", "must not be below zero")
	c.require(s.CostWeight >= 0, "spec.cost_weight", "must not be below zero")
	c.require(s.GoodputWeight+s.FairnessWeight+s.CostWeight > 0, "spec", "at least one weight must be above zero")
	c.require(s.RoleFloor >= 0, "spec.role_floor", "must not be below zero")
	c.require(s.HeadroomDomains >= 0, "spec.headroom_domains", "must not be below zero")
}

func (s *PolicySpec) references() []Reference { return nil }

func referencesTo(field string, kind Kind, names []string) []Reference {
	list := make([]Reference, len(names))
	for i, name := range names {
		list[i] = Reference{Path: fmt.Sprintf("%s[%d]", field, i), Kind: kind, Name: name}
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
