package member

import (
	"cmp"
	"slices"
	"time"
)

// Dump is the table's section of the state dump.
type Dump struct {
	Superseded bool           `json:"superseded"`
	Isolated   bool           `json:"isolated"`
	Members    []Member       `json:"members"`
	Endpoints  []Endpoint     `json:"endpoints"`
	Watches    []string       `json:"watches"`
	Records    map[string]int `json:"records"`
	Stats      Stats          `json:"stats"`
}

// Dump returns a copy of the table for the state dump.
func (t *Table) Dump(now time.Time) Dump {
	d := Dump{
		Superseded: t.Superseded(),
		Isolated:   t.Isolated(now),
		Members:    t.Members(now),
		Watches:    t.Watches(),
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	d.Stats = t.stats
	d.Records = map[string]int{
		"members": t.counts[kindMember], "endpoints": t.counts[kindEndpoint], "hosts": t.counts[kindHost],
	}
	for _, r := range t.records {
		if r.kind == kindEndpoint {
			e, _ := t.endpointView(r.name, now)
			d.Endpoints = append(d.Endpoints, e)
		}
	}
	slices.SortFunc(d.Endpoints, func(a, b Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	return d
}
