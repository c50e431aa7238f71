//go:build linux

package fault

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/acacialink/acacialink/internal/audit"
	"github.com/acacialink/acacialink/internal/observe"
	"github.com/acacialink/acacialink/internal/opsclient"
	"github.com/acacialink/acacialink/internal/resource"
)

const (
	model = "lantern"
	// waitTimeout bounds each wait for the site to reach a state.
	waitTimeout  = 60 * time.Second
	pollInterval = 100 * time.Millisecond
)

// apiKey is an API key and its workspace.
type apiKey struct {
	name, secret, workspace string
}

// declareResources adds all resources except the endpoints.
func (s *site) declareResources(spec siteSpec) {
	for _, d := range domains {
		s.addResource("domain", d, map[string]any{"region": "test"})
	}
	s.addResource("model", model, modelSpec())
	if spec.rates == nil {
		spec.rates = map[string][2]int64{"residents": {100_000, 1_000_000}, "schools": {100_000, 1_000_000}}
	}
	for workspace, rate := range spec.rates {
		s.addResource("workspace", workspace, map[string]any{"rate_tokens": rate[0], "burst_tokens": rate[1]})
		s.workspaces = append(s.workspaces, audit.Workspace{
			Name: workspace, RateTokens: rate[0], BurstTokens: rate[1],
		})
		k := apiKey{name: workspace + "-key", secret: "secret-of-" + workspace, workspace: workspace}
		s.keys = append(s.keys, k)
		s.addKey(k)
	}
	s.addResource("route", "orders", map[string]any{
		"prefix": "/orders", "service": "orders", "methods": []string{"POST"}, "at_most_once": true,
	})
	s.addResource("route", "status", map[string]any{"prefix": "/status", "service": "orders", "methods": []string{"GET"}})
	s.addResource("pool", "engines", map[string]any{
		"model": model, "domains": domains, "min": max(1, spec.minEngines), "max": 4,
		"prefill_tokens": 12_000, "decode_tokens": 2_000, "start_seconds": 30,
	})
}

func modelSpec(adapters ...string) map[string]any {
	list := []map[string]string{}
	for _, a := range adapters {
		list = append(list, map[string]string{"name": a, "version": "1"})
	}
	return map[string]any{
		"version": "1", "adapters": list, "max_prompt_tokens": 16_000, "max_output_tokens": 2_000,
	}
}

// setAdapters replaces the model's adapters, which makes the engines load and
// unload adapters. It retries until the change is accepted.
func (s *site) setAdapters(adapters ...string) {
	s.t.Helper()
	spec, err := json.Marshal(modelSpec(adapters...))
	if err != nil {
		s.t.Fatal(err)
	}
	list := []resource.Resource{{Kind: resource.KindModel, Name: model, Spec: spec}}
	deadline := time.Now().Add(waitTimeout)
	for {
		var out bytes.Buffer
		err := opsclient.ApplyResources(s.t.Context(), s.operatorOptions(), list, &out)
		if err == nil {
			s.recordChange(out.Bytes())
			return
		}
		if time.Now().After(deadline) {
			s.t.Fatalf("set adapters: %v", err)
		}
		time.Sleep(pollInterval)
	}
}

func (s *site) addKey(k apiKey) {
	sum := sha256.Sum256([]byte(k.secret))
	s.addResource("key", k.name, map[string]any{"workspace": k.workspace, "sha256": hex.EncodeToString(sum[:])})
}

func (s *site) addResource(kind, name string, spec map[string]any) {
	text, err := json.Marshal(spec)
	if err != nil {
		s.t.Fatal(err)
	}
	s.resources = append(s.resources, resource.Resource{Kind: resource.Kind(kind), Name: name, Spec: text})
}

// configure applies all resources and waits until all entry hosts serve with
// them.
func (s *site) configure() {
	s.t.Helper()
	options := s.operatorOptions()
	options.Wait = waitTimeout
	deadline := time.Now().Add(waitTimeout)
	for {
		var out bytes.Buffer
		err := opsclient.ApplyResources(s.t.Context(), options, s.resources, &out)
		if err == nil {
			change := s.recordChange(out.Bytes())
			s.waitServing(change.Revision)
			return
		}
		if time.Now().After(deadline) {
			s.t.Fatalf("configure: %v", err)
		}
		time.Sleep(pollInterval)
	}
}

// recordChange decodes the response to a configuration change and records the
// change if it was accepted.
func (s *site) recordChange(response []byte) audit.ConfigChange {
	s.t.Helper()
	var answer struct {
		Revision int64 `json:"revision"`
		Accepted bool  `json:"accepted"`
	}
	if err := json.Unmarshal(response, &answer); err != nil {
		s.t.Fatalf("decode response to configuration change: %v", err)
	}
	change := audit.ConfigChange{Revision: answer.Revision, AcceptedAt: time.Now()}
	if answer.Accepted {
		s.changes = append(s.changes, change)
	}
	return change
}

// operatorOptions returns the options of an operator client for the site.
func (s *site) operatorOptions() opsclient.Options {
	return opsclient.Options{Addresses: operatorURLs(s.entries), Token: operatorToken, JSON: true}
}

// revoke revokes a key and returns the configuration change that does so.
func (s *site) revoke(key string) audit.ConfigChange {
	s.t.Helper()
	var out bytes.Buffer
	err := opsclient.Delete(s.t.Context(), s.operatorOptions(), "key", key, 0, &out)
	if err != nil {
		s.t.Fatalf("revoke %s: %v", key, err)
	}
	return s.recordChange(out.Bytes())
}

// configState is the configuration section of an entry host's state dump.
type configState struct {
	Revision int64 `json:"revision"`
	// Fresh reports whether the host considers the revision recent enough to
	// serve requests with it.
	Fresh  bool `json:"fresh"`
	Voters struct {
		Hosts    []string `json:"hosts"`
		Previous []string `json:"previous"`
	} `json:"voters"`
}

// votersStable reports whether the voters are known and not changing, so that
// the site can serve without the store. The first voter list of a new site takes
// a second to form; until then no host can determine a majority.
func (c configState) votersStable() bool {
	return len(c.Voters.Hosts) > 0 && len(c.Voters.Previous) == 0
}

// observeConfig returns the revision that an entry host serves with. It returns
// false if the host does not serve.
func (h *host) observeConfig(ctx context.Context) (audit.RevisionObservation, bool) {
	c, observed := h.fetchConfig(ctx)
	return observed, c.Fresh
}

// fetchConfig returns the host's configuration state and its audit record. Both
// are zero if the state dump cannot be read.
func (h *host) fetchConfig(ctx context.Context) (configState, audit.RevisionObservation) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	at := time.Now()
	var out bytes.Buffer
	if err := observe.Dump(ctx, h.operatorAddress, operatorToken, "config", &out); err != nil {
		return configState{}, audit.RevisionObservation{}
	}
	var state struct {
		State struct {
			Config configState `json:"config"`
		} `json:"state"`
	}
	if err := json.Unmarshal(out.Bytes(), &state); err != nil {
		return configState{}, audit.RevisionObservation{}
	}
	c := state.State.Config
	return c, audit.RevisionObservation{Process: h.name, At: at, Revision: c.Revision}
}
