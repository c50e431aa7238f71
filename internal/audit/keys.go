package audit

import (
	"net/http"
	"strings"
)

// checkKeys looks for answers without a valid key, and for keys in what
// endpoints received.
func checkKeys(rep *report, r *Record, b Bounds) {
	keys := make(map[string]Key, len(r.Keys))
	for _, k := range r.Keys {
		keys[k.Name] = k
	}
	for _, q := range r.Requests {
		rep.saw()
		if q.Open || q.Status != http.StatusOK {
			continue
		}
		k, known := keys[q.Key]
		if !known {
			rep.add("request %s ran without a key", q.ID)
			continue
		}
		if !k.RevokedAt.IsZero() && q.Sent.After(k.RevokedAt.Add(b.RevokeWithin)) {
			rep.add("request %s ran %v after its key was revoked", q.ID, q.Sent.Sub(k.RevokedAt))
		}
	}
	checkLeaks(rep, r)
}

func checkLeaks(rep *report, r *Record) {
	for _, s := range r.Services {
		for _, c := range s.Calls {
			rep.saw()
			if leaks(r.Keys, c.Header) || containsKey(r.Keys, c.Path) {
				rep.add("service %s saw a key in request %s", s.Name, c.RequestID)
			}
		}
	}
	for _, e := range r.Engines {
		for _, g := range e.Generations {
			rep.saw()
			if leaks(r.Keys, g.Header) {
				rep.add("engine %s saw a key in request %s", e.Name, g.ID)
			}
		}
	}
}

func leaks(keys []Key, header map[string][]string) bool {
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
