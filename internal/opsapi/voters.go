package opsapi

import (
	"net/http"

	"github.com/acacialink/acacialink/internal/resource"
)

// VotersResponse lists the voters. A change is accepted once a majority of them
// has confirmed it.
type VotersResponse struct {
	Revision resource.Revision `json:"revision"`
	Hosts    []string          `json:"hosts"`
	// Previous is the list being replaced, empty if no replacement is in progress.
	Previous []string `json:"previous,omitempty"`
}

// VotersRequest lists hosts to remove from the voters. The operator asserts that
// their processes have ended.
type VotersRequest struct {
	Gone []string `json:"gone"`
}

func (s *server) voters(w http.ResponseWriter, _ *http.Request) error {
	v := s.options.Configuration.Current()
	list := v.Voters()
	return s.writeJSON(w, http.StatusOK, VotersResponse{Revision: v.Revision(), Hosts: list.Hosts, Previous: list.Previous})
}

// replaceVoters removes hosts from the voters after a permanent loss of the
// majority.
func (s *server) replaceVoters(w http.ResponseWriter, r *http.Request) error {
	var request VotersRequest
	if err := readJSON(w, r, maxBodyBytes, &request); err != nil {
		return err
	}
	outcome, err := s.options.Configuration.ReplaceVoters(r.Context(), request.Gone)
	names := make([]string, len(request.Gone))
	for i, host := range request.Gone {
		names[i] = "remove voter " + host
	}
	s.auditResources(r, names[:min(len(names), maxAuditNames)], len(names), outcome, err)
	if err != nil {
		return err
	}
	return s.writeJSON(w, http.StatusOK, ChangeResponse{Revision: outcome.Revision, Accepted: outcome.Accepted})
}
