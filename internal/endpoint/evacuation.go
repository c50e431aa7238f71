package endpoint

import (
	"sync"

	"github.com/acacialink/acacialink/internal/backing"
)

// Evacuation is an operator's request that the endpoints of a failure domain get no work.
type Evacuation struct {
	Domain string
	// Revision is the store revision at which it was made or, if Ended, at which it was
	// known to be taken back.
	Revision backing.Revision
	Ended    bool
}

// maxEvacuations bounds the failure domains that are tracked.
const maxEvacuations = 256

// Evacuations tracks the latest state of the evacuation of each failure domain. It is safe
// for concurrent use.
type Evacuations struct {
	mu       sync.Mutex // guards byDomain
	byDomain map[string]Evacuation
}

// NewEvacuations returns a tracker without evacuations.
func NewEvacuations() *Evacuations { return &Evacuations{byDomain: make(map[string]Evacuation)} }

// Apply applies states in any order and returns those that change whether their domain gets
// work.
func (e *Evacuations) Apply(states []Evacuation) []Evacuation {
	e.mu.Lock()
	defer e.mu.Unlock()
	var changed []Evacuation
	for _, next := range states {
		old, known := e.byDomain[next.Domain]
		if known && next.Revision <= old.Revision || !known && len(e.byDomain) >= maxEvacuations {
			continue
		}
		e.byDomain[next.Domain] = next
		if active := known && !old.Ended; active == next.Ended {
			changed = append(changed, next)
		}
	}
	return changed
}

// Listing returns a full listing of the evacuations as of revision as states: one for each
// that is listed, and the end of each known one that is not.
func (e *Evacuations) Listing(listed []Evacuation, revision backing.Revision) []Evacuation {
	e.mu.Lock()
	defer e.mu.Unlock()
	present := make(map[string]bool, len(listed))
	for _, x := range listed {
		present[x.Domain] = true
	}
	for domain, known := range e.byDomain {
		if !known.Ended && !present[domain] && known.Revision <= revision {
			listed = append(listed, Evacuation{Domain: domain, Revision: max(revision, known.Revision+1), Ended: true})
		}
	}
	return listed
}

// All returns the latest state of each domain, for peers.
func (e *Evacuations) All() []Evacuation {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]Evacuation, 0, len(e.byDomain))
	for _, x := range e.byDomain {
		out = append(out, x)
	}
	return out
}

// Domains returns the domains whose endpoints get no work.
func (e *Evacuations) Domains() map[string]bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]bool)
	for domain, x := range e.byDomain {
		if !x.Ended {
			out[domain] = true
		}
	}
	return out
}
