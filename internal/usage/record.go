package usage

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/pkg/errors"
)

// record is what the store holds of one shard.
type record struct {
	// Fence is the fencing number of the keeper that wrote it, Mark a mark
	// that is unique to the write.
	Fence int64  `json:"fence"`
	Mark  string `json:"mark"`
	// Applied is the last batch of each source that the record holds.
	Applied map[string]applied `json:"applied"`
	// Open holds the figures of windows that are not sealed.
	Open map[Window]lines `json:"open"`
	// Sealed are windows whose pages are fixed and not yet reported.
	Sealed []sealed `json:"sealed,omitempty"`
	// Watermark is the latest window that was sealed or skipped; figures of
	// it and of earlier ones are corrections.
	Watermark Window `json:"watermark"`
}

// applied is the last batch of a source.
type applied struct {
	Sequence int64 `json:"sequence"`
	// Window is the window in which the batch came, for forgetting sources.
	Window Window `json:"window"`
}

// sealed names the pages of a sealed window, by the hashes of their bytes.
type sealed struct {
	Window Window   `json:"window"`
	Pages  []string `json:"pages"`
	// Reported counts the pages that the report interface has taken.
	Reported int `json:"reported"`
}

// ErrRecord means that a shard's record cannot be read.
var ErrRecord = errors.New("usage record cannot be read")

func decodeRecord(value []byte) (*record, error) {
	r := newRecord()
	if err := json.Unmarshal(value, r); err != nil {
		return nil, errors.Wrap(ErrRecord, err.Error())
	}
	return r, nil
}

func newRecord() *record {
	return &record{Applied: make(map[string]applied), Open: make(map[Window]lines)}
}

func (r *record) encode() ([]byte, error) {
	value, err := json.Marshal(r)
	return value, errors.Wrap(err, "encode usage record")
}

// clone returns a copy that can be changed without changing r.
func (r *record) clone() *record {
	c := *r
	c.Applied = maps.Clone(r.Applied)
	c.Open = make(map[Window]lines, len(r.Open))
	for w, l := range r.Open {
		c.Open[w] = maps.Clone(l)
	}
	c.Sealed = slices.Clone(r.Sealed)
	return &c
}

// add counts figures of a window, as a correction in current, which is not
// sealed, when the window is sealed already.
func (r *record) add(key windowLine, f Figures, current Window) {
	target := key.Window
	k := lineKey{Line: key.Line}
	if key.Window <= r.Watermark {
		target = current
		k.For = key.Window
	}
	if r.Open[target] == nil {
		r.Open[target] = make(lines)
	}
	r.Open[target][k] = r.Open[target][k].Plus(f)
}

// forgetSources drops sources that sent nothing for long.
func (r *record) forgetSources(before Window) {
	maps.DeleteFunc(r.Applied, func(_ string, a applied) bool { return a.Window < before })
}
