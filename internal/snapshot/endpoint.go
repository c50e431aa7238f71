package snapshot

import (
	"slices"
	"strings"
	"sync"

	"github.com/acacialink/acacialink/internal/resource"
)

// Endpoint is one endpoint of the configuration.
type Endpoint struct {
	Name string
	Spec resource.EndpointSpec
}

// endpointSet decodes the list of endpoints on first use and skips those that
// cannot be decoded. Views share it until an endpoint changes.
type endpointSet struct {
	table  table[resource.Resource]
	once   sync.Once
	sorted []Endpoint
}

func (s *endpointSet) list() []Endpoint {
	s.once.Do(s.derive)
	return s.sorted
}

func (s *endpointSet) derive() {
	list := make([]Endpoint, 0, s.table.size)
	for name, r := range s.table.all() {
		spec, err := decodeSpec[resource.EndpointSpec](r)
		if err == nil {
			list = append(list, Endpoint{Name: name, Spec: spec})
		}
	}
	slices.SortFunc(list, func(a, b Endpoint) int { return strings.Compare(a.Name, b.Name) })
	s.sorted = list
}
