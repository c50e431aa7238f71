package audit

import (
	"net/http"
	"strings"
)

// checkKeys finds requests that succeeded without a valid key, and keys that
// reached an endpoint.
func checkKeys(rep *report, r *Record, b Bounds) {
	keys := make(map[string]Key, len(r.Keys))
	for _, k := range r.Keys {
		keys[k.Name] = k
	}
	for _, req := range r.Requests {
		rep.countExamined()
		if req.Open || req.Status != http.StatusOK {
			continue
		}
		k, known := keys[req.Key]
		if !known {
			rep.addFinding("request %s ran without a key", req.ID)
			continue
		}
		if !k.RevokedAt.IsZero() && req.Sent.After(k.RevokedAt.Add(b.RevokeWithin)) {
			rep.addFinding("request %s ran %v after its key was revoked", req.ID, req.Sent.Sub(k.RevokedAt))
		}
	}
	checkKeyLeaks(rep, r)
}

// checkKeyLeaks finds secrets of keys in the headers and paths of requests that
// endpoints received.
func checkKeyLeaks(rep *report, r *Record) {
	for _, s := range r.Services {
		for _, c := range s.Calls {
			rep.countExamined()
			if headerContainsKey(r.Keys, c.Header) || containsKey(r.Keys, c.Path) {
				rep.addFinding("service %s saw a key in request %s", s.Name, c.RequestID)
			}
		}
	}
	for _, e := range r.Engines {
		for _, g := range e.Generations {
			rep.countExamined()
			if headerContainsKey(r.Keys, g.Header) {
				rep.addFinding("engine %s saw a key in request %s", e.Name, g.ID)
			}
		}
	}
}

func headerContainsKey(keys []Key, header map[string][]string) bool {
	for name, values := range header {
		if containsKey(keys, name) || containsKey(keys, strings.Join(values, "\n")) {
			return true
		}
	}
	return false
}

func containsKey(keys []Key, text string) bool {
	for _, k := range keys {
		if k.Secret != "" && strings.Contains(text, k.Secret) {
			return true
		}
	}
	return false
}
