package settings

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
	"github.com/tailscale/hujson"

	"github.com/acacialink/acacialink/internal/resource"
)

// TestExamples validates every sample settings file, and checks that the agent
// settings of each site match its endpoint resources.
func TestExamples(t *testing.T) {
	for site, want := range map[string]struct{ entries, engines, services int }{
		"festival":   {3, 9, 3},
		"consortium": {4, 9, 4},
	} {
		t.Run(site, func(t *testing.T) {
			is := is.New(t)
			dir := filepath.Join("../../examples", site)
			endpoints := exampleEndpoints(t, dir)
			is.Equal(len(endpoints), want.engines+want.services)
			entries, err := filepath.Glob(filepath.Join(dir, "entry-*.hujson"))
			is.NoErr(err)
			is.Equal(len(entries), want.entries)
			for _, path := range entries {
				_, err := LoadEntry(path)
				is.NoErr(err)
			}
			agents, err := filepath.Glob(filepath.Join(dir, "agent-*.hujson"))
			is.NoErr(err)
			is.Equal(len(agents), len(endpoints))
			for _, path := range agents {
				a, err := LoadAgent(path)
				is.NoErr(err)
				spec, found := endpoints[a.Name]
				is.True(found)
				is.Equal(a.Listen, spec.Agent)
				is.Equal(a.Domain, spec.Domain)
				is.Equal(a.Endpoint.Type, string(spec.Kind))
				is.Equal(a.Endpoint.ChecksFencing, spec.ChecksFencing)
			}
		})
	}
}

// exampleEndpoints decodes all resources of a site, rejecting unknown fields,
// and returns its endpoint specs by name.
func exampleEndpoints(t *testing.T, dir string) map[string]resource.EndpointSpec {
	is := is.New(t)
	content, err := os.ReadFile(filepath.Join(dir, "resources.hujson"))
	is.NoErr(err)
	content, err = hujson.Standardize(content)
	is.NoErr(err)
	var list []resource.Resource
	is.NoErr(json.Unmarshal(content, &list))
	endpoints := make(map[string]resource.EndpointSpec)
	for _, r := range list {
		spec, known := map[resource.Kind]any{
			resource.KindDomain:    &resource.DomainSpec{},
			resource.KindModel:     &resource.ModelSpec{},
			resource.KindWorkspace: &resource.WorkspaceSpec{},
			resource.KindKey:       &resource.KeySpec{},
			resource.KindPool:      &resource.PoolSpec{},
			resource.KindEndpoint:  &resource.EndpointSpec{},
			resource.KindRoute:     &resource.RouteSpec{},
			resource.KindPolicy:    &resource.PolicySpec{},
		}[r.Kind]
		is.True(known)
		d := json.NewDecoder(bytes.NewReader(r.Spec))
		d.DisallowUnknownFields()
		is.NoErr(d.Decode(spec))
		if e, ok := spec.(*resource.EndpointSpec); ok {
			endpoints[r.Name] = *e
		}
	}
	return endpoints
}
