package audit

import (
	"strings"

	"github.com/acacialink/acacialink/internal/standin/service"
)

// executionKey identifies an operation that must execute at most once: by the
// caller's idempotency key, or by request ID if there is no key.
type executionKey struct {
	workspace, route, key, request string
}

// checkAtMostOnce finds calls of at-most-once routes that executed more than
// once, at the same service or at different ones.
func checkAtMostOnce(rep *report, r *Record, _ Bounds) {
	workspaces := workspaceByRequest(r)
	runs := make(map[executionKey]int)
	for _, s := range r.Services {
		for _, c := range s.Calls {
			route, once := atMostOnceRoute(r, c)
			if !once || c.Run == 0 {
				continue
			}
			rep.countExamined()
			key := executionKey{workspace: workspaces[c.RequestID], route: route, key: c.IdempotencyKey}
			if key.key == "" {
				key.request = c.RequestID
			}
			runs[key]++
			if runs[key] == 2 {
				rep.addFinding("request %s (idempotency key %q) of %s ran again", c.RequestID, c.IdempotencyKey, c.Path)
			}
		}
	}
}

// atMostOnceRoute returns the prefix of the at-most-once route that serves the
// call, if any.
func atMostOnceRoute(r *Record, c service.Call) (string, bool) {
	for _, prefix := range r.AtMostOnceRoutes {
		if strings.HasPrefix(c.Path, prefix) {
			return prefix, true
		}
	}
	return "", false
}
