package configcheck

import (
	"strings"

	"github.com/acacialink/acacialink/internal/catalog"
)

// Entries are the entries of a configuration as they were sent: duplicates and entries
// without effect are kept.
type Entries struct {
	Version    int64
	Limits     catalog.Limits
	Routes     []*catalog.Route
	Services   []*catalog.Service
	Workspaces []*catalog.Workspace
	// Keys are the API keys by workspace entry, in the order of Workspaces.
	Keys [][]string
}

// Check returns the findings in the order of the entries.
func (e *Entries) Check() []Finding {
	var f findings
	f.errorIf(e.Version <= 0, "configuration", "version %d is not positive", e.Version)
	f.errorIf(e.Limits.BodyBytes < 0, "configuration", "the limit of request bodies is negative")
	f.warnIf(len(e.Workspaces) == 0, "configuration", "without workspaces all routes accept requests without a key")
	e.checkRoutes(&f)
	e.checkServices(&f)
	e.checkWorkspaces(&f)
	return f
}

func (e *Entries) checkRoutes(f *findings) {
	services := make(map[string]bool, len(e.Services))
	for _, s := range e.Services {
		services[s.Name] = true
	}
	names := make(map[string]bool)
	type pattern struct{ host, prefix string }
	first := make(map[pattern]string)
	for _, r := range e.Routes {
		entry := entryName("route", r.Name)
		f.checkName(entry, r.Name, names)
		matched := pattern{strings.ToLower(r.Host), r.Prefix}
		earlier, hidden := first[matched]
		if !hidden {
			first[matched] = r.Name
		}
		f.errorIf(hidden, entry, "never matches: %s has the same host and prefix and stands before it", entryName("route", earlier))
		f.errorIf(r.Host == "" || strings.ContainsAny(r.Host, ":/* "), entry,
			"never matches: host %q is not a plain host name (ports are ignored, there are no wildcards)", r.Host)
		f.errorIf(r.Prefix != "" && !strings.HasPrefix(r.Prefix, "/"), entry, "never matches: prefix %q does not begin with a slash", r.Prefix)
		f.checkRouteLimits(entry, r)
		f.checkRouteServices(entry, r, services)
	}
}

func (f *findings) checkRouteLimits(entry string, r *catalog.Route) {
	f.errorIf(r.Timeout < 0 || r.Target < 0 || r.TargetGap < 0, entry, "a timeout or target is negative")
	f.errorIf(r.Priority < 0, entry, "priority %d is negative", r.Priority)
	if r.Timeout > 0 {
		f.warnIf(r.Target > r.Timeout, entry, "the target latency %v exceeds the timeout %v", r.Target, r.Timeout)
		f.warnIf(r.TargetGap > r.Timeout, entry, "the target gap %v exceeds the timeout %v", r.TargetGap, r.Timeout)
	}
	f.warnIf(r.TargetGap > 0 && r.Kind != catalog.Stream, entry, "a target gap has no effect on a route that does not stream")
	f.warnIf(r.Resumable && r.Kind != catalog.Stream, entry, "resumable has no effect on a route that does not stream")
	f.warnIf(r.Resumable && r.Attempts < 2, entry, "resumable has no effect with one attempt")
	f.warnIf(r.Kind == catalog.AtMostOnce && r.Attempts > 1, entry, "%d attempts contradict execution at most once, which applies", r.Attempts)
}

func (f *findings) checkRouteServices(entry string, r *catalog.Route, known map[string]bool) {
	total := 0.0
	for _, s := range r.Services {
		service := entryName("service", s.Service)
		f.errorIf(!known[s.Service], entry, "%s does not exist", service)
		f.errorIf(s.Weight < 0, entry, "the weight of %s is negative", service)
		f.warnIf(s.Weight == 0, entry, "%s gets no requests: its weight is 0", service)
		total += max(0, s.Weight)
	}
	f.errorIf(total == 0, entry, "no service has a weight above 0")
}

func (e *Entries) checkServices(f *findings) {
	used := make(map[string]bool)
	for _, r := range e.Routes {
		for _, s := range r.Services {
			used[s.Service] = true
		}
	}
	names := make(map[string]bool)
	for _, s := range e.Services {
		entry := entryName("service", s.Name)
		f.checkName(entry, s.Name, names)
		f.warnIf(!used[s.Name], entry, "no route sends requests to it")
		f.errorIf(s.MaxConnections < 0, entry, "the number of connections is negative")
		f.errorIf(s.ColdTime < 0 || s.ColdRate < 0, entry, "the cold time or the rate of cold endpoints is negative")
		f.warnIf(s.ColdTime > 0 && s.ColdRate == 0, entry, "the cold time has no effect without a rate for cold endpoints")
		f.warnIf(s.ColdRate > 0 && s.ColdTime == 0, entry, "the rate for cold endpoints has no effect without a cold time, except where endpoints state one")
		if s.Engine != nil {
			f.errorIf(s.Engine.CapacityTokens <= 0, entry, "the engine has no room for tokens")
			f.errorIf(s.Engine.TokenBytes < 0 || s.Engine.LinkMbps < 0 || s.Engine.StageSwitch < 0, entry, "a figure of the engine is negative")
		}
	}
}

func (e *Entries) checkWorkspaces(f *findings) {
	names := make(map[string]bool)
	owners := make(map[string]string)
	for i, w := range e.Workspaces {
		entry := entryName("workspace", w.Name)
		f.checkName(entry, w.Name, names)
		f.errorIf(w.Rate < 0 || w.Burst < 0 || w.DefaultTokens < 0, entry, "the rate, the burst or the charge of plain requests is negative")
		f.errorIf(w.Rate > 0 && w.Burst < 1, entry, "every request is refused: the rate has no burst")
		f.errorIf(w.Rate > 0 && w.Burst >= 1 && float64(w.DefaultTokens) > w.Burst, entry,
			"requests without token counts are refused: they cost %d tokens, the burst is %.0f", w.DefaultTokens, w.Burst)
		f.warnIf(w.Rate == 0 && w.Burst > 0, entry, "the burst has no effect without a rate")
		var keys []string
		if i < len(e.Keys) {
			keys = e.Keys[i]
		}
		f.warnIf(len(keys) == 0, entry, "it has no key, so that no request is its own")
		for _, key := range keys {
			owner, taken := owners[key]
			owners[key] = w.Name
			f.errorIf(key == "", entry, "a key is empty")
			f.errorIf(taken && owner != w.Name, entry, "one of its keys belongs to %s too", entryName("workspace", owner))
			f.warnIf(taken && owner == w.Name, entry, "one of its keys is listed twice")
		}
	}
}

// checkName reports a missing name and one that another entry of the kind has.
func (f *findings) checkName(entry, name string, names map[string]bool) {
	f.errorIf(name == "", entry, "it has no name")
	f.errorIf(name != "" && names[name], entry, "another entry has the same name")
	names[name] = true
}
