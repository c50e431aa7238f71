package resource_test

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/resource"
)

func faultPaths(f resource.Faults) []string {
	var paths []string
	for _, fault := range f {
		paths = append(paths, fault.Path)
	}
	return paths
}

func TestNormalizeReportsAllFaultsWithPaths(t *testing.T) {
	is := is.New(t)
	_, faults := resource.Normalize(resource.Resource{
		Kind: resource.KindPool, Name: "Big Pool",
		Spec: json.RawMessage(`{"domains":[],"min":3,"max":1,"prefill_tokens":0,"decode_tokens":1}`),
	})
	is.Equal(faultPaths(faults), []string{"name", "spec.model", "spec.domains", "spec.max", "spec.prefill_tokens"})
	_, faults = resource.Normalize(resource.Resource{
		Kind: resource.KindWorkspace, Name: "w",
		Spec: json.RawMessage(`{"rate_tokens":"ten","burst":5,"models":7}`),
	})
	is.Equal(faultPaths(faults), []string{"spec.rate_tokens", "spec.models", "spec.burst"})
}

func TestNormalizeReportsFaultsOfEachKind(t *testing.T) {
	cases := []struct {
		kind resource.Kind
		spec string
		path string
	}{
		{resource.KindKey, `{"workspace":"w","sha256":"AB"}`, "spec.sha256"},
		{resource.KindModel, `{"version":"1","max_prompt_tokens":1,"max_output_tokens":1,"adapters":[{"name":"a","version":"1"},{"name":"a","version":"2"}]}`, "spec.adapters[1].name"},
		{resource.KindDomain, `{"region":"r","distance_us":{"north":-1}}`, "spec.distance_us.north"},
		{resource.KindEndpoint, `{"type":"engine","domain":"d","agent":"example.org:80","checks_fencing":true}`, "spec.agent"},
		{resource.KindEndpoint, `{"type":"service","domain":"d","agent":"10.0.0.1:80","checks_fencing":true}`, "spec.service"},
		{resource.KindRoute, `{"prefix":"/v1/chat","service":"s"}`, "spec.prefix"},
		{resource.KindRoute, `{"prefix":"/a/../b","service":"s"}`, "spec.prefix"},
		{resource.KindRoute, `{"prefix":"/pay","service":"s","open":true,"at_most_once":true}`, "spec.open"},
		{resource.KindPolicy, `{"goodput_weight":-1,"fairness_weight":2,"cost_weight":0}`, "spec.goodput_weight"},
	}
	for _, c := range cases {
		is := is.New(t)
		name := "n"
		if c.kind == resource.KindPolicy {
			name = resource.PolicyName
		}
		_, faults := resource.Normalize(resource.Resource{Kind: c.kind, Name: name, Spec: json.RawMessage(c.spec)})
		is.Equal(faultPaths(faults), []string{c.path})
	}
}

func TestNormalizeEncodesEqualSpecsIdentically(t *testing.T) {
	is := is.New(t)
	a, faults := resource.Normalize(resource.Resource{Kind: resource.KindWorkspace, Name: "w", Spec: json.RawMessage(`{"burst_tokens":2, "rate_tokens":1,"weight":0}`)})
	is.Equal(len(faults), 0)
	b, _ := resource.Normalize(resource.Resource{Kind: resource.KindWorkspace, Name: "w", Spec: json.RawMessage(`{"rate_tokens":1,"burst_tokens":2}`)})
	is.Equal(string(a.Spec), string(b.Spec))
}

func TestReferencesOfRevokedKeyAreEmpty(t *testing.T) {
	is := is.New(t)
	live := resource.Resource{Kind: resource.KindKey, Spec: json.RawMessage(`{"workspace":"w","sha256":"x"}`)}
	is.Equal(resource.References(live), []resource.Reference{{Path: "spec.workspace", Kind: resource.KindWorkspace, Name: "w"}})
	revoked := resource.Resource{Kind: resource.KindKey, Spec: json.RawMessage(`{"workspace":"w","sha256":"x","revoked":true}`)}
	is.Equal(len(resource.References(revoked)), 0)
}
