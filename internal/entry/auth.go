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

// Caller identifies the workspace on whose behalf a request runs.
type Caller struct {
	Workspace string
	Spec      resource.WorkspaceSpec
	// key is the API key of the request. It must not leave this package in
	// any form.
	key string
}

// keyHeaders lists the headers that may carry credentials. None is forwarded
// to an endpoint.
var keyHeaders = []string{"Authorization", "X-Api-Key", "Proxy-Authorization"}

// authenticate resolves the API key of the request to its caller and returns
// the configuration view used for it.
func (s *Server) authenticate(r *http.Request) (Caller, *snapshot.View, error) {
	view, err := s.opts.Config.FreshView()
	if err != nil {
		return Caller{}, nil, err
	}
	caller, err := resolveCaller(r, view)
	return caller, view, err
}

// resolveCaller looks up the workspace that owns the request's API key. Keys are
// stored as hex-encoded SHA-256 digests.
func resolveCaller(r *http.Request, view *snapshot.View) (Caller, error) {
	key := requestKey(r)
	if key == "" {
		return Caller{}, errNoKey
	}
	digest := sha256.Sum256([]byte(key))
	workspace, ok := view.KeyOwner(hex.EncodeToString(digest[:]))
	if !ok {
		return Caller{}, errInvalidKey
	}
	spec, ok := view.Workspace(workspace)
	if !ok || spec.Disabled {
		return Caller{}, errInvalidKey
	}
	return Caller{Workspace: workspace, Spec: spec, key: key}, nil
}

// requestKey returns the key in X-Api-Key or else the bearer token, or "" if the
// request has neither.
func requestKey(r *http.Request) string {
	if key := r.Header.Get("X-Api-Key"); key != "" {
		return key
	}
	scheme, key, found := strings.Cut(r.Header.Get("Authorization"), " ")
	if !found || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// containsKey reports whether the body, URL or headers that would be forwarded to
// an endpoint contain the API key.
func (c Caller) containsKey(body []byte, target *url.URL, header http.Header) bool {
	if c.key == "" {
		return false
	}
	if bytes.Contains(body, []byte(c.key)) || c.urlContainsKey(target) {
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

// urlContainsKey reports whether the path or the query, raw or decoded, contains
// the API key.
func (c Caller) urlContainsKey(target *url.URL) bool {
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
