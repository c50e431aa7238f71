package usage

import (
	"cmp"
	"encoding/json"
	"slices"
)

// lines are the figures of one window.
type lines map[lineKey]Figures

// lineKey is a line. For is set when it corrects an earlier window.
type lineKey struct {
	Line
	For Window
}

// entry is the stored and reported form of a line.
type entry struct {
	Workspace string `json:"workspace"`
	Model     string `json:"model"`
	// CorrectionFor is the sealed window that the figures belong to.
	CorrectionFor Window `json:"correction_for,omitempty"`
	Figures
}

// sorted returns the lines in an order that depends on their keys alone.
func (l lines) sorted() []entry {
	list := make([]entry, 0, len(l))
	for key, f := range l {
		list = append(list, entry{Workspace: key.Workspace, Model: key.Model, CorrectionFor: key.For, Figures: f})
	}
	slices.SortFunc(list, entry.compare)
	return list
}

func (e entry) compare(o entry) int {
	return cmp.Or(
		cmp.Compare(e.Workspace, o.Workspace),
		cmp.Compare(e.Model, o.Model),
		cmp.Compare(e.CorrectionFor, o.CorrectionFor),
	)
}

// MarshalJSON implements json.Marshaler.
func (l lines) MarshalJSON() ([]byte, error) { return json.Marshal(l.sorted()) }

// UnmarshalJSON implements json.Unmarshaler.
func (l *lines) UnmarshalJSON(value []byte) error {
	var list []entry
	if err := json.Unmarshal(value, &list); err != nil {
		return err
	}
	*l = make(lines, len(list))
	for _, e := range list {
		(*l)[lineKey{Line{e.Workspace, e.Model}, e.CorrectionFor}] = e.Figures
	}
	return nil
}
