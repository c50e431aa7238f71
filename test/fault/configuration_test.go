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
	// settleTimeout bounds the wait for a site to serve.
	settleTimeout = 60 * time.Second
	pollInterval  = 100 * time.Millisecond
)

// keySpec is a key with its workspace.
type keySpec struct {
	name, secret, workspace string
}

// declare notes all resources but the endpoints.
func (s *site) declare(p plan) {
	for _, d := range domains {
		s.add("domain", d, map[string]any{"region": "test"})
	}
	s.add("model", model, modelSpec())
	if p.rates == nil {
		p.rates = map[string][2]int64{"residents": {100_000, 1_000_000}, "schools": {100_000, 1_000_000}}
	}
	for workspace, rate := range p.rates {
		s.add("workspace", workspace, map[string]any{"rate_tokens": rate[0], "burst_tokens": rate[1]})
		s.workspaces = append(s.workspaces, audit.Workspace{
			Name: workspace, RateTokens: rate[0], BurstTokens: rate[1],
		})
		k := keySpec{name: workspace + "-key", secret: "secret-of-" + workspace, workspace: workspace}
		s.keys = append(s.keys, k)
		s.addKey(k)
	}
	s.add("route", "orders", map[string]any{
		"prefix": "/orders", "service": "orders", "methods": []string{"POST"}, "at_most_once": true,
	})
	s.add("route", "status", map[string]any{"prefix": "/status", "service": "orders", "methods": []string{"GET"}})
	s.add("pool", "engines", map[string]any{
		"model": model, "domains": domains, "min": max(1, p.least), "max": 4,
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

// setAdapters declares the model's adapters, which engines must then load. It
// tries until the change is accepted.
func (s *site) setAdapters(adapters ...string) {
	s.t.Helper()
	spec, err := json.Marshal(modelSpec(adapters...))
	if err != nil {
		s.t.Fatal(err)
	}
	list := []resource.Resource{{Kind: resource.KindModel, Name: model, Spec: spec}}
	deadline := time.Now().Add(settleTimeout)
	for {
		var out bytes.Buffer
		err := opsclient.ApplyResources(s.t.Context(), s.operator(), list, &out)
		if err == nil {
			s.accepted(out.Bytes())
			return
		}
		if time.Now().After(deadline) {
			s.t.Fatalf("set adapters: %v", err)
		}
		time.Sleep(pollInterval)
	}
}

func (s *site) addKey(k keySpec) {
	sum := sha256.Sum256([]byte(k.secret))
	s.add("key", k.name, map[string]any{"workspace": k.workspace, "sha256": hex.EncodeToString(sum[:])})
}

func (s *site) add(kind, name string, spec map[string]any) {
	text, err := json.Marshal(spec)
	if err != nil {
		s.t.Fatal(err)
	}
	s.resources = append(s.resources, resource.Resource{Kind: resource.Kind(kind), Name: name, Spec: text})
}

// configure applies all resources and waits until they are in force.
func (s *site) configure() {
	s.t.Helper()
	o := s.operator()
	o.Wait = settleTimeout
	deadline := time.Now().Add(settleTimeout)
	for {
		var out bytes.Buffer
		err := opsclient.ApplyResources(s.t.Context(), o, s.resources, &out)
		if err == nil {
			change := s.accepted(out.Bytes())
			s.waitServing(change.Revision)
			return
		}
		if time.Now().After(deadline) {
			s.t.Fatalf("configure: %v", err)
		}
		time.Sleep(pollInterval)
	}
}

// accepted notes a change whose answer says that it was accepted.
func (s *site) accepted(answer []byte) audit.ConfigChange {
	s.t.Helper()
	var a struct {
		Revision int64 `json:"revision"`
		Accepted bool  `json:"accepted"`
	}
	if err := json.Unmarshal(answer, &a); err != nil {
		s.t.Fatalf("answer to a change: %v", err)
	}
	change := audit.ConfigChange{Revision: a.Revision, AcceptedAt: time.Now()}
	if a.Accepted {
		s.changes = append(s.changes, change)
	}
	return change
}

// operator returns the operators' client of the site.
func (s *site) operator() opsclient.Options {
	return opsclient.Options{Addresses: operatorURLs(s.entries), Token: operatorToken, JSON: true}
}

// revoke revokes a key and returns when and at which revision it was accepted.
func (s *site) revoke(key string) audit.ConfigChange {
	s.t.Helper()
	var out bytes.Buffer
	err := opsclient.Delete(s.t.Context(), s.operator(), "key", key, 0, &out)
	if err != nil {
		s.t.Fatalf("revoke %s: %v", key, err)
	}
	return s.accepted(out.Bytes())
}

// configState is the part of an entry's state dump about its configuration.
type configState struct {
	Revision int64 `json:"revision"`
	// Fresh is the host's own word that it may serve by the revision.
	Fresh  bool `json:"fresh"`
	Voters struct {
		Hosts    []string `json:"hosts"`
		Previous []string `json:"previous"`
	} `json:"voters"`
}

// formed says whether the site can go on without the store: the first list of
// voters of a new site takes a second to form, and until then no host can know
// a majority.
func (c configState) formed() bool {
	return len(c.Voters.Hosts) > 0 && len(c.Voters.Previous) == 0
}

// seen returns the revision that an entry serves with, false if it serves none.
func (h *host) seen(ctx context.Context) (audit.RevisionObservation, bool) {
	c, seen := h.config(ctx)
	return seen, c.Fresh
}

// config returns the host's configuration state and the record of it.
func (h *host) config(ctx context.Context) (configState, audit.RevisionObservation) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	at := time.Now()
	var out bytes.Buffer
	if err := observe.Dump(ctx, h.operators, operatorToken, "config", &out); err != nil {
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
