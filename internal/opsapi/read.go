package opsapi

import (
	"context"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"

	"github.com/acacialink/acacialink/internal/resource"
)

// ListAnswer is one page of a list.
type ListAnswer struct {
	// Revision is that of the whole configuration that the list is of.
	Revision resource.Revision   `json:"revision"`
	Items    []resource.Resource `json:"items"`
	// Next, when set, is the value of "after" for the next page.
	Next string `json:"next,omitempty"`
}

func (s *server) get(w http.ResponseWriter, r *http.Request) error {
	kind, err := kindOf(r)
	if err != nil {
		return err
	}
	res, ok := s.o.Configuration.Current().Get(kind, mux.Vars(r)["name"])
	if !ok {
		return refuse(http.StatusNotFound, "not_found", "there is no such resource")
	}
	return s.writeJSON(w, http.StatusOK, s.withStatus(r.Context(), res))
}

func (s *server) list(w http.ResponseWriter, r *http.Request) error {
	kind, err := kindOf(r)
	if err != nil {
		return err
	}
	v := s.o.Configuration.Current()
	after := r.URL.Query().Get("after")
	answer := ListAnswer{Revision: v.Revision(), Items: []resource.Resource{}}
	for _, res := range v.List(kind) {
		if res.Name <= after {
			continue
		}
		if len(answer.Items) == maxListed {
			answer.Next = answer.Items[maxListed-1].Name
			break
		}
		answer.Items = append(answer.Items, s.withStatus(r.Context(), res))
	}
	return s.writeJSON(w, http.StatusOK, answer)
}

// RevisionAnswer says how far a revision has come.
type RevisionAnswer struct {
	Revision resource.Revision `json:"revision"`
	// Current is the revision that the asked host holds.
	Current  resource.Revision `json:"current"`
	Accepted bool              `json:"accepted"`
	InForce  bool              `json:"in_force"`
	// Waiting names live hosts that have not confirmed it.
	Waiting []string `json:"waiting,omitempty"`
}

func (s *server) revision(w http.ResponseWriter, r *http.Request) error {
	n, err := strconv.ParseInt(mux.Vars(r)["revision"], 10, 64)
	if err != nil || n < 0 {
		return refuse(http.StatusBadRequest, "bad_revision", "the revision must be a whole number")
	}
	return s.writeJSON(w, http.StatusOK, s.spread(r.Context(), resource.Revision(n)))
}

func (s *server) spread(ctx context.Context, revision resource.Revision) RevisionAnswer {
	answer := RevisionAnswer{Revision: revision, Current: s.o.Configuration.Current().Revision()}
	if revision > answer.Current {
		answer.Waiting = []string{s.o.Host}
		return answer
	}
	spread := s.o.Configuration.Spread(ctx, revision)
	answer.Accepted, answer.InForce, answer.Waiting = spread.Accepted, spread.InForce, spread.Waiting
	return answer
}
