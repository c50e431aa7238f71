package snapshot

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/resource"
)

// View is the configuration at one revision. It is immutable and safe for
// concurrent use.
type View struct {
	revision   resource.Revision
	voters     VoterList
	kinds      map[resource.Kind]table[resource.Resource]
	workspaces table[resource.WorkspaceSpec]
	keys       table[keyEntry]
	models     map[string]resource.ModelSpec
	domains    map[string]resource.DomainSpec
	pools      map[string]resource.PoolSpec
	routes     []routeEntry
	policy     resource.PolicySpec
	endpoints  *endpointSet
}

// keyEntry is the index entry of a key's hash.
type keyEntry struct {
	name      string
	workspace string
	revoked   bool
}

// ErrRevisionGap reports a change that does not directly follow the view's
// revision.
var ErrRevisionGap = errors.New("change does not directly follow the revision of the view")

// Empty returns the view before the first change, at revision zero.
func Empty() *View {
	return &View{kinds: map[resource.Kind]table[resource.Resource]{}, endpoints: &endpointSet{}}
}

// Revision returns the revision of the last change in the view.
func (v *View) Revision() resource.Revision { return v.revision }

// Voters returns the list of voters in force.
func (v *View) Voters() VoterList { return v.voters }

// KeyOwner returns the workspace of the key with this lower-case hex SHA-256. ok
// is false for an unknown or revoked key and for a disabled or missing workspace.
func (v *View) KeyOwner(sha256hex string) (workspace string, ok bool) {
	entry, ok := v.keys.get(sha256hex)
	if !ok || entry.revoked {
		return "", false
	}
	spec, ok := v.workspaces.get(entry.workspace)
	if !ok || spec.Disabled {
		return "", false
	}
	return entry.workspace, true
}

// KeyName returns the name of the key resource with this hash, revoked or not.
func (v *View) KeyName(sha256hex string) (string, bool) {
	entry, ok := v.keys.get(sha256hex)
	return entry.name, ok
}

// Workspace returns the spec of a workspace.
func (v *View) Workspace(name string) (resource.WorkspaceSpec, bool) {
	return v.workspaces.get(name)
}

// Model returns the spec of a model.
func (v *View) Model(name string) (resource.ModelSpec, bool) {
	spec, ok := v.models[name]
	return spec, ok
}

// Models returns all models by name. The caller must not modify the map.
func (v *View) Models() map[string]resource.ModelSpec { return v.models }

// Domain returns the spec of a failure domain.
func (v *View) Domain(name string) (resource.DomainSpec, bool) {
	spec, ok := v.domains[name]
	return spec, ok
}

// Domains returns all failure domains by name. The caller must not modify the map.
func (v *View) Domains() map[string]resource.DomainSpec { return v.domains }

// Pools returns all pools by name. The caller must not modify the map.
func (v *View) Pools() map[string]resource.PoolSpec { return v.pools }

// Policy returns the deployment's policy, or the zero policy if none is set.
func (v *View) Policy() resource.PolicySpec { return v.policy }

// Endpoints returns all endpoints in name order. The caller must not modify the
// slice.
func (v *View) Endpoints() []Endpoint { return v.endpoints.list() }

// Get returns one resource as declared by the operators.
func (v *View) Get(kind resource.Kind, name string) (resource.Resource, bool) {
	return v.kinds[kind].get(name)
}

// Count returns the number of resources of a kind.
func (v *View) Count(kind resource.Kind) int { return v.kinds[kind].size }

// List returns all resources of a kind in name order.
func (v *View) List(kind resource.Kind) []resource.Resource {
	t := v.kinds[kind]
	list := make([]resource.Resource, 0, t.size)
	for _, r := range t.all() {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b resource.Resource) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// Apply returns the view after the change. It returns ErrRevisionGap if the
// revision of the change is not the next one, and ErrEncoding if a spec cannot be
// decoded.
func (v *View) Apply(c Change) (*View, error) {
	if c.Revision != v.revision+1 {
		return nil, errors.Wrapf(ErrRevisionGap, "change %d on view %d", c.Revision, v.revision)
	}
	next := *v
	next.revision = c.Revision
	if c.Voters != nil {
		next.voters = *c.Voters
	}
	b := builder{view: &next}
	for _, item := range c.Items {
		if err := b.put(item); err != nil {
			return nil, err
		}
	}
	b.finish()
	return &next, nil
}

// applyAll applies the changes that are later than the view.
func (v *View) applyAll(changes []Change) (Step, error) {
	step := Step{View: v}
	for _, c := range changes {
		if c.Revision <= step.View.revision {
			continue
		}
		next, err := step.View.Apply(c)
		if err != nil {
			return Step{}, err
		}
		step.View = next
		step.Changes = append(step.Changes, c)
	}
	return step, nil
}

func decodeSpec[T any](r resource.Resource) (T, error) {
	var spec T
	if err := json.Unmarshal(r.Spec, &spec); err != nil {
		return spec, errors.Wrapf(ErrEncoding, "%s %q: %v", r.Kind, r.Name, err)
	}
	return spec, nil
}
