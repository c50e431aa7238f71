package opsapi

import (
	"fmt"

	"github.com/acacialink/acacialink/internal/resource"
	"github.com/acacialink/acacialink/internal/snapshot"
)

// maxNamedReferences bounds how many users of a deleted resource an answer names.
const maxNamedReferences = 10

// checkReferences refuses a change after which a resource names one that does
// not exist, or two routes share a prefix.
func (p *planner) checkReferences(intents []intent, single bool) error {
	change := p.change
	change.Revision = p.view.Revision() + 1
	after, err := p.view.Apply(change)
	if err != nil {
		return err
	}
	positions := map[string]int{}
	for i, in := range intents {
		positions[in.id()] = i
	}
	deleted := map[string]bool{}
	for _, item := range change.Items {
		id := fmt.Sprintf("%s/%s", item.Kind, item.Name)
		if item.Deleted {
			deleted[id] = true
			continue
		}
		p.addFaults(missingReferences(after, item.Resource), positions[id], single)
	}
	p.faults = append(p.faults, brokenReferences(after, deleted)...)
	p.faults = append(p.faults, sharedPrefixes(after, change)...)
	if len(p.faults) > 0 {
		return refuseFaults(p.faults)
	}
	return nil
}

func missingReferences(v *snapshot.View, r resource.Resource) resource.Faults {
	var faults resource.Faults
	for _, ref := range resource.References(r) {
		if _, ok := v.Get(ref.Kind, ref.Name); !ok {
			faults = append(faults, resource.Fault{Path: ref.Path, Message: fmt.Sprintf("there is no %s %q", ref.Kind, ref.Name)})
		}
	}
	return faults
}

// brokenReferences names resources that still use a deleted one.
func brokenReferences(v *snapshot.View, deleted map[string]bool) resource.Faults {
	var faults resource.Faults
	if len(deleted) == 0 {
		return nil
	}
	for _, kind := range resource.Kinds() {
		for _, r := range v.List(kind) {
			for _, ref := range resource.References(r) {
				if deleted[fmt.Sprintf("%s/%s", ref.Kind, ref.Name)] && len(faults) < maxNamedReferences {
					faults = append(faults, resource.Fault{Path: "name", Message: fmt.Sprintf("%s %q is used by %s %q", ref.Kind, ref.Name, r.Kind, r.Name)})
				}
			}
		}
	}
	return faults
}

// sharedPrefixes names routes that would answer for the same prefix.
func sharedPrefixes(v *snapshot.View, c snapshot.Change) resource.Faults {
	var faults resource.Faults
	for _, item := range c.Items {
		if item.Kind != resource.KindRoute || item.Deleted {
			continue
		}
		for _, name := range v.RoutesAt(item.Resource) {
			faults = append(faults, resource.Fault{Path: "spec.prefix", Message: fmt.Sprintf("route %q has the prefix of route %q", item.Name, name)})
		}
	}
	return faults
}
