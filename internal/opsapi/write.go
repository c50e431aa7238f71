package opsapi

import (
	"net/http"
	"strconv"

	"github.com/gorilla/mux"

	"github.com/acacialink/acacialink/internal/resource"
	"github.com/acacialink/acacialink/internal/snapshot"
)

// ChangeAnswer is the answer to a change.
type ChangeAnswer struct {
	// Revision is that of the change, or the current one when nothing changed.
	Revision resource.Revision `json:"revision"`
	// Accepted is false when the change is in the store but not yet held by a
	// majority of the voters; it will not be undone.
	Accepted bool     `json:"accepted"`
	Results  []Result `json:"results"`
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
	if res.Revision, err = expectedRevision(r, res.Revision); err != nil {
		return err
	}
	if res.Revision == 0 {
		return refuse(http.StatusPreconditionRequired, "revision_required", "an update needs the revision that it replaces")
	}
	return s.change(w, r, []intent{newIntent(actionUpdate, res)}, true, http.StatusOK)
}

func (s *server) remove(w http.ResponseWriter, r *http.Request) error {
	kind, err := kindOf(r)
	if err != nil {
		return err
	}
	res := resource.Resource{Kind: kind, Name: mux.Vars(r)["name"]}
	if res.Revision, err = expectedRevision(r, 0); err != nil {
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

// change makes all the intents one change, or refuses them all.
func (s *server) change(w http.ResponseWriter, r *http.Request, intents []intent, single bool, status int) error {
	select {
	case s.changes <- struct{}{}:
		defer func() { <-s.changes }()
	default:
		return refuse(http.StatusServiceUnavailable, "busy", "too many changes are in work").after(retrySoon)
	}
	var results []Result
	o, err := s.o.Configuration.Change(r.Context(), func(v *snapshot.View) (snapshot.Change, error) {
		c, planned, err := plan(v, intents, single)
		results = planned
		return c, err
	})
	s.audit(r, intents, o, err)
	if err != nil {
		return err
	}
	accepted := o.Accepted || !o.Changed
	if !accepted {
		status = http.StatusAccepted
	}
	return s.writeJSON(w, status, ChangeAnswer{Revision: o.Revision, Accepted: accepted, Results: results})
}

// readResource reads a resource whose kind, and name if given, come from the path.
func readResource(w http.ResponseWriter, r *http.Request, name string) (resource.Resource, error) {
	kind, err := kindOf(r)
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
		return resource.Resource{}, refuseFaults(faults)
	}
	res.Kind = kind
	if name != "" {
		res.Name = name
	}
	return res, nil
}

func kindOf(r *http.Request) (resource.Kind, error) {
	kind, err := resource.ParseKind(mux.Vars(r)["kind"])
	if err != nil {
		return "", refuse(http.StatusNotFound, "unknown_kind", err.Error())
	}
	return kind, nil
}

// expectedRevision takes the revision of the query before that of the body.
func expectedRevision(r *http.Request, body resource.Revision) (resource.Revision, error) {
	text := r.URL.Query().Get("revision")
	if text == "" {
		return body, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		return 0, refuse(http.StatusBadRequest, "bad_revision", "the revision must be a whole number")
	}
	return resource.Revision(n), nil
}
