package entry

import (
	"encoding/json"
	"net/http"
	"slices"

	"github.com/acacialink/acacialink/internal/snapshot"
	"github.com/acacialink/acacialink/internal/verdict"
)

// modelList is the response body of GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// handleModels lists the models and adapters that the workspace may use.
func (s *Server) handleModels(w http.ResponseWriter, r *http.Request) {
	caller, view, err := s.authenticate(r)
	if err != nil {
		s.writeError(w, r, err)
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, name := range modelNames(view, caller) {
		list.Data = append(list.Data, modelItem{ID: name, Object: "model", OwnedBy: "acacialink"})
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(verdict.Header, verdict.Ran.String())
	_ = json.NewEncoder(w).Encode(list)
}

// modelNames returns the sorted names of the models, and "model:adapter" for each
// adapter, that the caller may use.
func modelNames(view *snapshot.View, caller Caller) []string {
	var names []string
	for name, spec := range view.Models() {
		if !modelAllowed(caller.Spec, name) {
			continue
		}
		names = append(names, name)
		for _, adapter := range spec.Adapters {
			names = append(names, name+":"+adapter.Name)
		}
	}
	slices.Sort(names)
	return names
}
