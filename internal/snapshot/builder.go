package snapshot

import (
	"maps"

	"github.com/acacialink/acacialink/internal/resource"
)

// builder modifies a view that has not been published yet. Small maps are
// copied at most once per change, and only if one of their resources changes.
type builder struct {
	view *View
	// copied holds the kinds whose map has been copied; the empty kind stands
	// for View.kinds.
	copied map[resource.Kind]bool
	// routesChanged makes finish rebuild the list of routes.
	routesChanged bool
	// endpointsChanged makes finish rebuild the list of endpoints.
	endpointsChanged bool
}

func (b *builder) put(item Item) error {
	r := item.Resource
	r.Status = nil
	if !b.markCopied("") {
		b.view.kinds = maps.Clone(b.view.kinds)
	}
	if err := b.index(r, item.Deleted); err != nil {
		return err
	}
	t := b.view.kinds[r.Kind]
	if item.Deleted {
		b.view.kinds[r.Kind] = t.without(r.Name)
		return nil
	}
	b.view.kinds[r.Kind] = t.with(r.Name, r)
	return nil
}

// markCopied records that the map of the kind is copied and reports whether it
// had been copied before.
func (b *builder) markCopied(kind resource.Kind) bool {
	if b.copied == nil {
		b.copied = map[resource.Kind]bool{}
	}
	copied := b.copied[kind]
	b.copied[kind] = true
	return copied
}

func (b *builder) index(r resource.Resource, deleted bool) error {
	v := b.view
	switch r.Kind {
	case resource.KindWorkspace:
		return b.indexWorkspace(r, deleted)
	case resource.KindKey:
		return b.indexKey(r, deleted)
	case resource.KindModel:
		return putSpec(b, &v.models, r, deleted)
	case resource.KindDomain:
		return putSpec(b, &v.domains, r, deleted)
	case resource.KindPool:
		return putSpec(b, &v.pools, r, deleted)
	case resource.KindRoute:
		b.routesChanged = true
	case resource.KindEndpoint:
		b.endpointsChanged = true
	case resource.KindPolicy:
		return b.indexPolicy(r, deleted)
	}
	// A kind that is unknown to this version is stored, without an index, for
	// hosts of a newer version.
	return nil
}

func (b *builder) indexWorkspace(r resource.Resource, deleted bool) error {
	if deleted {
		b.view.workspaces = b.view.workspaces.without(r.Name)
		return nil
	}
	spec, err := decodeSpec[resource.WorkspaceSpec](r)
	if err != nil {
		return err
	}
	b.view.workspaces = b.view.workspaces.with(r.Name, spec)
	return nil
}

func (b *builder) indexKey(r resource.Resource, deleted bool) error {
	if err := b.removeKeyHash(r.Name); err != nil || deleted {
		return err
	}
	spec, err := decodeSpec[resource.KeySpec](r)
	if err != nil {
		return err
	}
	entry := keyEntry{name: r.Name, workspace: spec.Workspace, revoked: spec.Revoked}
	b.view.keys = b.view.keys.with(spec.SHA256, entry)
	return nil
}

// removeKeyHash removes the index entry of the hash that the key had before the
// change.
func (b *builder) removeKeyHash(name string) error {
	old, ok := b.view.kinds[resource.KindKey].get(name)
	if !ok {
		return nil
	}
	spec, err := decodeSpec[resource.KeySpec](old)
	if err != nil {
		return err
	}
	if entry, _ := b.view.keys.get(spec.SHA256); entry.name == name {
		b.view.keys = b.view.keys.without(spec.SHA256)
	}
	return nil
}

func (b *builder) indexPolicy(r resource.Resource, deleted bool) error {
	if deleted {
		b.view.policy = resource.PolicySpec{}
		return nil
	}
	spec, err := decodeSpec[resource.PolicySpec](r)
	b.view.policy = spec
	return err
}

func putSpec[T any](b *builder, m *map[string]T, r resource.Resource, deleted bool) error {
	if !b.markCopied(r.Kind) {
		*m = maps.Clone(*m)
	}
	if *m == nil {
		*m = map[string]T{}
	}
	if deleted {
		delete(*m, r.Name)
		return nil
	}
	spec, err := decodeSpec[T](r)
	if err != nil {
		return err
	}
	(*m)[r.Name] = spec
	return nil
}

func (b *builder) finish() {
	if b.endpointsChanged {
		b.view.endpoints = &endpointSet{table: b.view.kinds[resource.KindEndpoint]}
	}
	if b.routesChanged {
		b.view.routes = newRoutes(b.view.kinds[resource.KindRoute])
	}
}
