package opsapi

import (
	"fmt"

	"github.com/acacialink/acacialink/internal/resource"
	"github.com/acacialink/acacialink/internal/snapshot"
)

// maxReportedReferences is the maximum number of references to deleted resources
// that a response lists.
const maxReportedReferences = 10

// checkReferences rejects a change after which a resource would refer to one
// that does not exist, or two routes would have the same prefix.
func (p *planner) checkReferences(intents []intent, single bool) error {
	change := p.change
	change.Revision = p.view.Revision() + 1
	after, err := p.view.Apply(change)
	if err != nil {
		return err
	}
	indexes := map[string]int{}
	for i, in := range intents {
		indexes[in.id()] = i
	}
	deleted := map[string]bool{}
	for _, item := range change.Items {
		id := fmt.Sprintf("%s/%s", item.Kind, item.Name)
		if item.Deleted {
			deleted[id] = true
			continue
		}
		p.addFaults(missingReferences(after, item.Resource), indexes[id], single)
	}
	p.faults = append(p.faults, danglingReferences(after, deleted)...)
	p.faults = append(p.faults, duplicatePrefixes(after, change)...)
	if len(p.faults) > 0 {
		return newFaultsError(p.faults)
	}
	return nil
}

// missingReferences returns a fault for each reference of r to a resource that
// does not exist.
func missingReferences(v *snapshot.View, r resource.Resource) resource.Faults {
	var faults resource.Faults
	for _, reference := range resource.References(r) {
		if _, ok := v.Get(reference.Kind, reference.Name); !ok {
			faults = append(faults, resource.Fault{Path: reference.Path, Message: fmt.Sprintf("there is no %s %q", reference.Kind, reference.Name)})
		}
	}
	return faults
}

// danglingReferences returns a fault for each remaining reference to a deleted
// resource, up to maxReportedReferences.
func danglingReferences(v *snapshot.View, deleted map[string]bool) resource.Faults {
	var faults resource.Faults
	if len(deleted) == 0 {
		return nil
	}
	for _, kind := range resource.Kinds() {
		for _, r := range v.List(kind) {
			for _, reference := range resource.References(r) {
				if deleted[fmt.Sprintf("%s/%s", reference.Kind, reference.Name)] && len(faults) < maxReportedReferences {
					faults = append(faults, resource.Fault{Path: "name", Message: fmt.Sprintf("%s %q is used by %s %q", reference.Kind, reference.Name, r.Kind, r.Name)})
				}
			}
		}
	}
	return faults
}

// duplicatePrefixes returns a fault for each changed route whose prefix another
// route has.
func duplicatePrefixes(v *snapshot.View, c snapshot.Change) resource.Faults {
	var faults resource.Faults
	for _, item := range c.Items {
		if item.Kind != resource.KindRoute || item.Deleted {
			continue
		}
		for _, name := range v.RoutesWithSamePrefix(item.Resource) {
			faults = append(faults, resource.Fault{Path: "spec.prefix", Message: fmt.Sprintf("route %q has the prefix of route %q", item.Name, name)})
		}
	}
	return faults
}
