package audit

import (
	"strings"

	"github.com/acacialink/acacialink/internal/standin/service"
)

// onceKey identifies what must happen once: what the caller's idempotency key
// names, or the request if there is none.
type onceKey struct {
	workspace, route, key, request string
}

// checkAtMostOnce looks for calls of at-most-once routes that ran twice, at
// one service or at two.
func checkAtMostOnce(rep *report, r *Record, _ Bounds) {
	workspaces := workspaceByRequest(r)
	runs := make(map[onceKey]int)
	for _, s := range r.Services {
		for _, c := range s.Calls {
			route, once := onceRoute(r, c)
			if !once || c.Run == 0 {
				continue
			}
			rep.saw()
			key := onceKey{workspace: workspaces[c.RequestID], route: route, key: c.IdempotencyKey}
			if key.key == "" {
				key.request = c.RequestID
			}
			runs[key]++
			if runs[key] == 2 {
				rep.add("request %s (idempotency key %q) of %s ran again", c.RequestID, c.IdempotencyKey, c.Path)
			}
		}
	}
}

func onceRoute(r *Record, c service.Call) (string, bool) {
	for _, prefix := range r.OnceRoutes {
		if strings.HasPrefix(c.Path, prefix) {
			return prefix, true
		}
	}
	return "", false
}
