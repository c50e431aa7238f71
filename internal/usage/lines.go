package usage

import (
	"cmp"
	"encoding/json"
	"slices"
)

// lines maps the lines of one window to their figures.
type lines map[lineKey]Figures

// lineKey identifies a line within a window.
type lineKey struct {
	Line
	// CorrectionFor is the sealed window that the line corrects, or zero.
	CorrectionFor Window
}

// lineRecord is the JSON form of a line in shard records and report pages.
type lineRecord struct {
	Workspace string `json:"workspace"`
	Model     string `json:"model"`
	// CorrectionFor is the sealed window that the figures belong to. It is zero
	// unless the line is a correction.
	CorrectionFor Window `json:"correction_for,omitempty"`
	Figures
}

// sorted returns the lines in an order determined by their keys only.
func (l lines) sorted() []lineRecord {
	list := make([]lineRecord, 0, len(l))
	for key, figures := range l {
		list = append(list, lineRecord{Workspace: key.Workspace, Model: key.Model, CorrectionFor: key.CorrectionFor, Figures: figures})
	}
	slices.SortFunc(list, lineRecord.compare)
	return list
}

func (r lineRecord) compare(other lineRecord) int {
	return cmp.Or(
		cmp.Compare(r.Workspace, other.Workspace),
		cmp.Compare(r.Model, other.Model),
		cmp.Compare(r.CorrectionFor, other.CorrectionFor),
	)
}

// MarshalJSON implements json.Marshaler.
func (l lines) MarshalJSON() ([]byte, error) { return json.Marshal(l.sorted()) }

// UnmarshalJSON implements json.Unmarshaler.
func (l *lines) UnmarshalJSON(value []byte) error {
	var list []lineRecord
	if err := json.Unmarshal(value, &list); err != nil {
		return err
	}
	*l = make(lines, len(list))
	for _, record := range list {
		(*l)[lineKey{Line{record.Workspace, record.Model}, record.CorrectionFor}] = record.Figures
	}
	return nil
}
