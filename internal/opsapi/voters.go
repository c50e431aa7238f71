package opsapi

import (
	"net/http"

	"github.com/acacialink/acacialink/internal/resource"
)

// VotersAnswer is the list of hosts whose majority holds every accepted change.
type VotersAnswer struct {
	Revision resource.Revision `json:"revision"`
	Hosts    []string          `json:"hosts"`
	// Previous is the list being replaced, empty otherwise.
	Previous []string `json:"previous,omitempty"`
}

// VotersRequest names hosts whose processes have ended, at the operator's word.
type VotersRequest struct {
	Gone []string `json:"gone"`
}

func (s *server) voters(w http.ResponseWriter, _ *http.Request) error {
	v := s.o.Configuration.Current()
	list := v.Voters()
	return s.writeJSON(w, http.StatusOK, VotersAnswer{Revision: v.Revision(), Hosts: list.Hosts, Previous: list.Previous})
}

// replaceVoters takes hosts out of the list when it has lost its majority for
// good.
func (s *server) replaceVoters(w http.ResponseWriter, r *http.Request) error {
	var request VotersRequest
	if err := readJSON(w, r, maxBodyBytes, &request); err != nil {
		return err
	}
	o, err := s.o.Configuration.ReplaceVoters(r.Context(), request.Gone)
	names := make([]string, len(request.Gone))
	for i, host := range request.Gone {
		names[i] = "remove voter " + host
	}
	s.auditNames(r, names[:min(len(names), maxAuditNames)], len(names), o, err)
	if err != nil {
		return err
	}
	return s.writeJSON(w, http.StatusOK, ChangeAnswer{Revision: o.Revision, Accepted: o.Accepted})
}
