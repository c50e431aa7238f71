package opsapi

import (
	"net/http"
	"strconv"

	"github.com/gorilla/mux"

	"github.com/acacialink/acacialink/internal/resource"
	"github.com/acacialink/acacialink/internal/snapshot"
)

// ChangeResponse is the response to a change.
type ChangeResponse struct {
	// Revision is the revision of the change, or the current revision if nothing
	// changed.
	Revision resource.Revision `json:"revision"`
	// Accepted is false if the change is in the store but a majority of the
	// voters has not confirmed it yet. Such a change is not rolled back.
	Accepted bool `json:"accepted"`
	// Results has one entry per requested resource, in the order of the request.
	Results []Result `json:"results"`
}

func (s *server) create(w http.ResponseWriter, r *http.Request) error {
	res, err := readResource(w, r, "")
	if err != nil {
		return err
	}
	return s.change(w, r, []intent{newIntent(actionCreate, res)}, true, http.StatusCreated)
}

func (s *server) update(w http.ResponseWriter, r *http.Request) error {
	res, err := readResource(w, r, mux.Vars(r)["name"])
	if err != nil {
		return err
	}
	if res.Revision, err = requestedRevision(r, res.Revision); err != nil {
		return err
	}
	if res.Revision == 0 {
		return newAPIError(http.StatusPreconditionRequired, "revision_required", "an update needs the revision that it replaces")
	}
	return s.change(w, r, []intent{newIntent(actionUpdate, res)}, true, http.StatusOK)
}

func (s *server) remove(w http.ResponseWriter, r *http.Request) error {
	kind, err := pathKind(r)
	if err != nil {
		return err
	}
	res := resource.Resource{Kind: kind, Name: mux.Vars(r)["name"]}
	if res.Revision, err = requestedRevision(r, 0); err != nil {
		return err
	}
	return s.change(w, r, []intent{newIntent(actionDelete, res)}, true, http.StatusOK)
}

func (s *server) apply(w http.ResponseWriter, r *http.Request) error {
	var list []resource.Resource
	if err := readJSON(w, r, maxApplyBytes, &list); err != nil {
		return err
	}
	intents := make([]intent, len(list))
	for i, res := range list {
		intents[i] = newIntent(actionApply, res)
	}
	return s.change(w, r, intents, false, http.StatusOK)
}

// change carries out all intents in one atomic change and responds with the
// given status, or with 202 if the change is not accepted yet.
func (s *server) change(w http.ResponseWriter, r *http.Request, intents []intent, single bool, status int) error {
	select {
	case s.changeSlots <- struct{}{}:
		defer func() { <-s.changeSlots }()
	default:
		return newAPIError(http.StatusServiceUnavailable, "busy", "too many changes are in work").withRetryAfter(busyRetryDelay)
	}
	var results []Result
	outcome, err := s.options.Configuration.Change(r.Context(), func(v *snapshot.View) (snapshot.Change, error) {
		c, planned, err := plan(v, intents, single)
		results = planned
		return c, err
	})
	s.audit(r, intents, outcome, err)
	if err != nil {
		return err
	}
	accepted := outcome.Accepted || !outcome.Changed
	if !accepted {
		status = http.StatusAccepted
	}
	return s.writeJSON(w, status, ChangeResponse{Revision: outcome.Revision, Accepted: accepted, Results: results})
}

// readResource decodes a resource from the body and checks that its kind, and its
// name if one is given, match the path.
func readResource(w http.ResponseWriter, r *http.Request, name string) (resource.Resource, error) {
	kind, err := pathKind(r)
	if err != nil {
		return resource.Resource{}, err
	}
	var res resource.Resource
	if err := readJSON(w, r, maxBodyBytes, &res); err != nil {
		return resource.Resource{}, err
	}
	var faults resource.Faults
	if res.Kind != "" && res.Kind != kind {
		faults = append(faults, resource.Fault{Path: "kind", Message: "is not the one in the path"})
	}
	if name != "" && res.Name != "" && res.Name != name {
		faults = append(faults, resource.Fault{Path: "name", Message: "is not the one in the path"})
	}
	if len(faults) > 0 {
		return resource.Resource{}, newFaultsError(faults)
	}
	res.Kind = kind
	if name != "" {
		res.Name = name
	}
	return res, nil
}

// pathKind returns the resource kind in the request path.
func pathKind(r *http.Request) (resource.Kind, error) {
	kind, err := resource.ParseKind(mux.Vars(r)["kind"])
	if err != nil {
		return "", newAPIError(http.StatusNotFound, "unknown_kind", err.Error())
	}
	return kind, nil
}

// requestedRevision returns the revision in the query, or that of the body if the
// query has none.
func requestedRevision(r *http.Request, body resource.Revision) (resource.Revision, error) {
	text := r.URL.Query().Get("revision")
	if text == "" {
		return body, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		return 0, newAPIError(http.StatusBadRequest, "bad_revision", "the revision must be a whole number")
	}
	return resource.Revision(n), nil
}
