package snapshot

import (
	"maps"

	"github.com/acacialink/acacialink/internal/resource"
)

// builder changes a view that no one else sees yet. Small maps are copied once
// per change and only when one of their resources changes.
type builder struct {
	view   *View
	copied map[resource.Kind]bool
	// routesChanged and endpointsChanged ask finish to derive the lists again.
	routesChanged    bool
	endpointsChanged bool
}

func (b *builder) put(item Item) error {
	r := item.Resource
	r.Status = nil
	if !b.alreadyCopied("") {
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

// alreadyCopied says whether the map of the kind was copied before, and notes that it is now.
func (b *builder) alreadyCopied(kind resource.Kind) bool {
	if b.copied == nil {
		b.copied = map[resource.Kind]bool{}
	}
	done := b.copied[kind]
	b.copied[kind] = true
	return done
}

func (b *builder) index(r resource.Resource, deleted bool) error {
	v := b.view
	switch r.Kind {
	case resource.KindWorkspace:
		return b.workspace(r, deleted)
	case resource.KindKey:
		return b.key(r, deleted)
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
		return b.policy(r, deleted)
	}
	// A kind that this version does not know is held for those that do.
	return nil
}

func (b *builder) workspace(r resource.Resource, deleted bool) error {
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

func (b *builder) key(r resource.Resource, deleted bool) error {
	if err := b.forgetKey(r.Name); err != nil || deleted {
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

// forgetKey removes the hash that the key had before the change.
func (b *builder) forgetKey(name string) error {
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

func (b *builder) policy(r resource.Resource, deleted bool) error {
	if deleted {
		b.view.policy = resource.PolicySpec{}
		return nil
	}
	spec, err := decodeSpec[resource.PolicySpec](r)
	b.view.policy = spec
	return err
}

func putSpec[T any](b *builder, m *map[string]T, r resource.Resource, deleted bool) error {
	if !b.alreadyCopied(r.Kind) {
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
