package snapshot

import (
	"slices"
	"strings"

	"github.com/acacialink/acacialink/internal/resource"
)

// routeEntry is one route of a view.
type routeEntry struct {
	name string
	spec resource.RouteSpec
}

// newRoutes decodes the routes and sorts them by descending prefix length, then
// by name. Routes that cannot be decoded are skipped.
func newRoutes(t table[resource.Resource]) []routeEntry {
	routes := make([]routeEntry, 0, t.size)
	for name, r := range t.all() {
		spec, err := decodeSpec[resource.RouteSpec](r)
		if err == nil {
			routes = append(routes, routeEntry{name: name, spec: spec})
		}
	}
	slices.SortFunc(routes, func(a, b routeEntry) int {
		if d := len(b.spec.Prefix) - len(a.spec.Prefix); d != 0 {
			return d
		}
		return strings.Compare(a.name, b.name)
	})
	return routes
}

// Route returns the route with the longest prefix that matches the path. A
// prefix matches only up to a slash or the end of the path.
func (v *View) Route(path string) (name string, spec resource.RouteSpec, ok bool) {
	for _, r := range v.routes {
		if matchesPrefix(path, r.spec.Prefix) {
			return r.name, r.spec, true
		}
	}
	return "", resource.RouteSpec{}, false
}

func matchesPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/' || strings.HasSuffix(prefix, "/"))
}

// RoutesWithSamePrefix returns the names of the other routes with the same
// prefix as r.
func (v *View) RoutesWithSamePrefix(r resource.Resource) []string {
	spec, err := decodeSpec[resource.RouteSpec](r)
	if err != nil {
		return nil
	}
	var names []string
	for _, other := range v.routes {
		if other.spec.Prefix == spec.Prefix && other.name != r.Name {
			names = append(names, other.name)
		}
	}
	return names
}
