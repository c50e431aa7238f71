package snapshot

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/acacialink/acacialink/internal/resource"
)

func item(kind resource.Kind, name string, spec any) Item {
	value, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	return Item{Resource: resource.Resource{Kind: kind, Name: name, Generation: 1, Spec: value}}
}

func keyItem(name, workspace, hash string, revoked bool) Item {
	return item(resource.KindKey, name, resource.KeySpec{Workspace: workspace, SHA256: hash, Revoked: revoked})
}

func apply(is *is.I, v *View, items ...Item) *View {
	is.Helper()
	next, err := v.Apply(Change{Revision: v.Revision() + 1, WriteID: newWriteID(), Items: items})
	is.NoErr(err)
	return next
}

func TestKeyOwnerRejectsRevokedKeyAndDisabledWorkspace(t *testing.T) {
	is := is.New(t)
	v := apply(is, Empty(), item(resource.KindWorkspace, "w", resource.WorkspaceSpec{RateTokens: 1}), keyItem("k", "w", "aa", false))
	owner, ok := v.KeyOwner("aa")
	is.True(ok)
	is.Equal(owner, "w")
	revoked := apply(is, v, keyItem("k", "w", "aa", true))
	_, ok = revoked.KeyOwner("aa")
	is.True(!ok)
	disabled := apply(is, v, item(resource.KindWorkspace, "w", resource.WorkspaceSpec{Disabled: true}))
	_, ok = disabled.KeyOwner("aa")
	is.True(!ok)
	rehashed := apply(is, v, keyItem("k", "w", "bb", false))
	_, ok = rehashed.KeyOwner("aa")
	is.True(!ok)
	_, ok = v.KeyOwner("aa") // The earlier view is unchanged.
	is.True(ok)
}

func TestRouteMatchesLongestPrefixAtSlash(t *testing.T) {
	is := is.New(t)
	v := apply(is, Empty(),
		item(resource.KindRoute, "a", resource.RouteSpec{Prefix: "/orders", Service: "orders"}),
		item(resource.KindRoute, "b", resource.RouteSpec{Prefix: "/orders/pay", Service: "pay"}))
	for path, want := range map[string]string{"/orders": "a", "/orders/7": "a", "/orders/pay/1": "b", "/orders/payments": "a", "/ordersx": ""} {
		name, _, _ := v.Route(path)
		is.Equal(name, want)
	}
}

// During an upgrade, hosts of the older version must forward resources of kinds
// that they do not know.
func TestPagesPreserveUnknownKind(t *testing.T) {
	is := is.New(t)
	v := apply(is, Empty(), item("novelty", "n", map[string]int{"a": 1}))
	pages, err := encodePages(v)
	is.NoErr(err)
	loaded, err := decodePages(pages)
	is.NoErr(err)
	_, ok := loaded.Get("novelty", "n")
	is.True(ok)
}

func TestApplyRejectsOutOfOrderChange(t *testing.T) {
	is := is.New(t)
	_, err := Empty().Apply(Change{Revision: 2})
	is.True(err != nil)
}

// A view built from changes matches a plain map, and is unchanged after encoding
// and decoding as pages.
func TestViewMatchesReferenceMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v, model := Empty(), map[string]string{}
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for i := range steps {
			c := Change{Revision: v.Revision() + 1, WriteID: fmt.Sprint(i)}
			for range rapid.IntRange(1, 5).Draw(t, "items") {
				name := fmt.Sprintf("w%d", rapid.IntRange(0, 30).Draw(t, "name"))
				it := item(resource.KindWorkspace, name, resource.WorkspaceSpec{RateTokens: int64(i)})
				it.Deleted = rapid.Bool().Draw(t, "deleted")
				c.Items = append(c.Items, it)
				if it.Deleted {
					delete(model, name)
				} else {
					model[name] = string(it.Spec)
				}
			}
			next, err := v.Apply(c)
			if err != nil {
				t.Fatal(err)
			}
			v = next
		}
		pages, err := encodePages(v)
		if err != nil {
			t.Fatal(err)
		}
		loaded, err := decodePages(pages)
		if err != nil {
			t.Fatal(err)
		}
		for _, view := range []*View{v, loaded} {
			if got := workspaceSpecs(view); !maps.Equal(got, model) || view.Revision() != v.Revision() {
				t.Fatalf("view %v, want %v", got, model)
			}
			if view.Count(resource.KindWorkspace) != len(model) {
				t.Fatalf("count %d, want %d", view.Count(resource.KindWorkspace), len(model))
			}
		}
	})
}

func workspaceSpecs(v *View) map[string]string {
	m := map[string]string{}
	for _, r := range v.List(resource.KindWorkspace) {
		m[r.Name] = string(r.Spec)
	}
	return m
}

func TestDecodePagesRejectsMixedSnapshots(t *testing.T) {
	is := is.New(t)
	var items []Item
	for i := range 9000 {
		items = append(items, item(resource.KindWorkspace, fmt.Sprintf("w%05d", i), resource.WorkspaceSpec{RateTokens: int64(i)}))
	}
	first := apply(is, Empty(), items...)
	second := apply(is, first, items[0])
	a, err := encodePages(first)
	is.NoErr(err)
	b, err := encodePages(second)
	is.NoErr(err)
	is.True(len(a) > 1)
	_, err = decodePages(slices.Concat(a[:1], b[1:]))
	is.True(err != nil)
	_, err = decodePages(a[:1])
	is.True(err != nil)
}
