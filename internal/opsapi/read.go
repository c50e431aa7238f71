package opsapi

import (
	"context"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"

	"github.com/acacialink/acacialink/internal/resource"
)

// ListResponse is one page of a list.
type ListResponse struct {
	// Revision is the revision of the configuration that was listed.
	Revision resource.Revision   `json:"revision"`
	Items    []resource.Resource `json:"items"`
	// Next is the value of "after" for the next page, empty on the last page.
	Next string `json:"next,omitempty"`
}

func (s *server) get(w http.ResponseWriter, r *http.Request) error {
	kind, err := pathKind(r)
	if err != nil {
		return err
	}
	res, ok := s.options.Configuration.Current().Get(kind, mux.Vars(r)["name"])
	if !ok {
		return newAPIError(http.StatusNotFound, "not_found", "there is no such resource")
	}
	return s.writeJSON(w, http.StatusOK, s.withStatus(r.Context(), res))
}

func (s *server) list(w http.ResponseWriter, r *http.Request) error {
	kind, err := pathKind(r)
	if err != nil {
		return err
	}
	v := s.options.Configuration.Current()
	after := r.URL.Query().Get("after")
	response := ListResponse{Revision: v.Revision(), Items: []resource.Resource{}}
	for _, res := range v.List(kind) {
		if res.Name <= after {
			continue
		}
		if len(response.Items) == maxListItems {
			response.Next = response.Items[maxListItems-1].Name
			break
		}
		response.Items = append(response.Items, s.withStatus(r.Context(), res))
	}
	return s.writeJSON(w, http.StatusOK, response)
}

// RevisionResponse is the rollout state of a revision.
type RevisionResponse struct {
	Revision resource.Revision `json:"revision"`
	// Current is the current revision of the host that responds.
	Current resource.Revision `json:"current"`
	// Accepted reports whether a majority of the voters has confirmed the revision.
	Accepted bool `json:"accepted"`
	// InForce reports whether the revision is in force on every live host.
	InForce bool `json:"in_force"`
	// Waiting lists the live hosts that have not confirmed the revision.
	Waiting []string `json:"waiting,omitempty"`
}

func (s *server) revision(w http.ResponseWriter, r *http.Request) error {
	n, err := strconv.ParseInt(mux.Vars(r)["revision"], 10, 64)
	if err != nil || n < 0 {
		return newAPIError(http.StatusBadRequest, "bad_revision", "the revision must be a whole number")
	}
	return s.writeJSON(w, http.StatusOK, s.revisionStatus(r.Context(), resource.Revision(n)))
}

// revisionStatus returns the rollout state of a revision. A revision that this
// host has not received yet is waiting for this host.
func (s *server) revisionStatus(ctx context.Context, revision resource.Revision) RevisionResponse {
	response := RevisionResponse{Revision: revision, Current: s.options.Configuration.Current().Revision()}
	if revision > response.Current {
		response.Waiting = []string{s.options.Host}
		return response
	}
	propagation := s.options.Configuration.Propagation(ctx, revision)
	response.Accepted, response.InForce, response.Waiting = propagation.Accepted, propagation.InForce, propagation.PendingHosts
	return response
}
