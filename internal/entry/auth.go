package entry

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/url"
	"strings"

	"github.com/acacialink/acacialink/internal/resource"
	"github.com/acacialink/acacialink/internal/snapshot"
)

// Caller is the workspace that a request runs for.
type Caller struct {
	Workspace string
	Spec      resource.WorkspaceSpec
	// Key is the key that came with the request. It leaves this package in
	// no form.
	key string
}

// keyHeaders are the headers in which a key is accepted. None reaches an endpoint.
var keyHeaders = []string{"Authorization", "X-Api-Key", "Proxy-Authorization"}

// authenticate returns the caller by the key of the request.
func (s *Server) authenticate(r *http.Request) (Caller, *snapshot.View, error) {
	view, err := s.opts.Config.Use()
	if err != nil {
		return Caller{}, nil, err
	}
	caller, err := callerOf(r, view)
	return caller, view, err
}

func callerOf(r *http.Request, view *snapshot.View) (Caller, error) {
	key := bearerKey(r)
	if key == "" {
		return Caller{}, errNoKey
	}
	sum := sha256.Sum256([]byte(key))
	workspace, ok := view.KeyOwner(hex.EncodeToString(sum[:]))
	if !ok {
		return Caller{}, errBadKey
	}
	spec, ok := view.Workspace(workspace)
	if !ok || spec.Disabled {
		return Caller{}, errBadKey
	}
	return Caller{Workspace: workspace, Spec: spec, key: key}, nil
}

func bearerKey(r *http.Request) string {
	if key := r.Header.Get("X-Api-Key"); key != "" {
		return key
	}
	scheme, key, found := strings.Cut(r.Header.Get("Authorization"), " ")
	if !found || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// carriesKey says whether the key stands in what an endpoint would receive.
func (c Caller) carriesKey(body []byte, target *url.URL, header http.Header) bool {
	if c.key == "" {
		return false
	}
	if bytes.Contains(body, []byte(c.key)) || c.standsIn(target) {
		return true
	}
	for _, values := range header {
		for _, value := range values {
			if strings.Contains(value, c.key) {
				return true
			}
		}
	}
	return false
}

// standsIn says whether the key stands in a path or query, encoded or not.
func (c Caller) standsIn(target *url.URL) bool {
	query, err := url.QueryUnescape(target.RawQuery)
	if err != nil {
		query = ""
	}
	for _, part := range []string{target.Path, target.RawQuery, query} {
		if strings.Contains(part, c.key) {
			return true
		}
	}
	return false
}
