package opsapi

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/resource"
	"github.com/acacialink/acacialink/internal/snapshot"
)

// Result is the effect of a change on one resource.
type Result struct {
	Kind resource.Kind `json:"kind"`
	Name string        `json:"name"`
	// Action is "created", "updated", "unchanged", "deleted" or "revoked".
	Action string `json:"action"`
	// Generation is the generation of the resource after the change.
	Generation int64 `json:"generation"`
	// Revision is the revision of the resource after the change.
	Revision resource.Revision `json:"revision"`
	// Secret is the secret of a new key. It is returned only in this response.
	Secret string `json:"secret,omitempty"`
}

// planner computes the change of a view that a list of intents requires. It has no
// side effects.
type planner struct {
	view      *snapshot.View
	change    snapshot.Change
	results   []Result
	faults    resource.Faults
	conflicts []Conflict
	// hashes maps the key hashes of the planned change to names of keys.
	hashes map[string]string
}

// plan returns the change for the intents and its results, or an *apiError that
// lists all faults or all conflicts. single is true for a request with one
// resource; the paths of its faults have no "items[i]" prefix.
func plan(v *snapshot.View, intents []intent, single bool) (snapshot.Change, []Result, error) {
	p := &planner{view: v, hashes: map[string]string{}}
	seen := map[string]bool{}
	for i, in := range intents {
		faults := p.add(in)
		if seen[in.id()] {
			faults = append(faults, resource.Fault{Path: "name", Message: in.id() + " stands twice"})
		}
		seen[in.id()] = true
		p.addFaults(faults, i, single)
	}
	if len(p.faults) > 0 {
		return snapshot.Change{}, nil, newFaultsError(p.faults)
	}
	if single && len(p.conflicts) > 0 && p.conflicts[0].Current == 0 {
		return snapshot.Change{}, nil, newAPIError(http.StatusNotFound, "not_found", "there is no such resource")
	}
	if len(p.conflicts) > 0 {
		return snapshot.Change{}, nil, newConflictsError(p.conflicts)
	}
	if err := p.checkReferences(intents, single); err != nil {
		return snapshot.Change{}, nil, err
	}
	return p.change, p.results, nil
}

func (p *planner) addFaults(faults resource.Faults, index int, single bool) {
	if !single {
		faults = faults.WithPathPrefix(fmt.Sprintf("items[%d]", index))
	}
	p.faults = append(p.faults, faults...)
}

// add plans one intent and returns its faults. Conflicts are recorded in p.
func (p *planner) add(in intent) resource.Faults {
	old, exists := p.view.Get(in.resource.Kind, in.resource.Name)
	if !p.checkExpectedRevision(in, old, exists) {
		return nil
	}
	if in.action == actionDelete {
		return p.remove(in, old)
	}
	r := in.resource
	secret, faults := p.prepareKey(&r, in.secret, old, exists)
	if len(faults) > 0 {
		return faults
	}
	r, faults = resource.Normalize(r)
	if len(faults) > 0 {
		return faults
	}
	if !exists && p.view.Count(r.Kind) >= maxResourcesPerKind {
		return resource.Faults{{Path: "kind", Message: fmt.Sprintf("there are %d resources of the kind already", maxResourcesPerKind)}}
	}
	p.put(r, old, exists, secret)
	return nil
}

// checkExpectedRevision reports whether the existence and the revision of the
// resource are as the intent expects. If not, it records a conflict.
func (p *planner) checkExpectedRevision(in intent, old resource.Resource, exists bool) bool {
	ok := true
	switch in.action {
	case actionCreate:
		ok = !exists
	case actionUpdate, actionDelete:
		ok = exists && (in.expectedRevision == 0 || in.expectedRevision == old.Revision)
	case actionApply:
		ok = in.expectedRevision == 0 || in.expectedRevision == old.Revision
	}
	if !ok {
		p.conflicts = append(p.conflicts, Conflict{Kind: in.resource.Kind, Name: in.resource.Name, Expected: in.expectedRevision, Current: old.Revision})
	}
	return ok
}

// put plans the creation or update of a resource. An update that does not change
// the spec has no effect and leaves the revision as it is.
func (p *planner) put(r, old resource.Resource, exists bool, secret string) {
	result := Result{Kind: r.Kind, Name: r.Name, Action: "created", Secret: secret}
	if exists {
		result.Action = "updated"
	}
	if exists && string(r.Spec) == string(old.Spec) {
		result.Action = "unchanged"
		result.Generation, result.Revision = old.Generation, old.Revision
		p.results = append(p.results, result)
		return
	}
	r.Generation = old.Generation + 1
	r.Revision = p.view.Revision() + 1
	result.Generation, result.Revision = r.Generation, r.Revision
	p.change.Items = append(p.change.Items, snapshot.Item{Resource: r})
	p.results = append(p.results, result)
}

// remove plans the deletion of a resource. A key is revoked and retained, so that
// reapplying an old file or reusing its hash cannot make it valid again.
func (p *planner) remove(in intent, old resource.Resource) resource.Faults {
	if old.Kind == resource.KindKey {
		return p.revoke(old)
	}
	p.change.Items = append(p.change.Items, snapshot.Item{Resource: old, Deleted: true})
	result := Result{Kind: in.resource.Kind, Name: in.resource.Name, Action: "deleted", Generation: old.Generation, Revision: p.view.Revision() + 1}
	p.results = append(p.results, result)
	return nil
}

func (p *planner) revoke(old resource.Resource) resource.Faults {
	spec, err := keySpec(old)
	if err != nil {
		return resource.Faults{{Path: "spec", Message: err.Error()}}
	}
	spec.Revoked = true
	r := old
	r.Spec, err = json.Marshal(spec)
	if err != nil {
		return resource.Faults{{Path: "spec", Message: err.Error()}}
	}
	p.put(r, old, true, "")
	last := &p.results[len(p.results)-1]
	if last.Action == "updated" {
		last.Action = "revoked"
	}
	return nil
}

func keySpec(r resource.Resource) (resource.KeySpec, error) {
	var spec resource.KeySpec
	err := json.Unmarshal(r.Spec, &spec)
	return spec, errors.Wrap(err, "read key")
}
