package usage

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
)

// shardRecord is what the store holds of one shard.
type shardRecord struct {
	// Fence is the fencing number of the keeper that wrote it.
	Fence int64 `json:"fence"`
	// Applied is the last batch of each source that the record holds.
	Applied map[string]applied `json:"applied"`
	// Open holds the figures of windows that are not sealed.
	Open map[Window]lines `json:"open"`
	// Sealed are windows whose pages are fixed and not yet reported.
	Sealed []sealed `json:"sealed,omitempty"`
	// Watermark is the latest window that was sealed or skipped; figures of
	// it and of earlier ones are corrections.
	Watermark Window `json:"watermark"`
	// Kept is for how long keepers have kept the shard, in seconds; hours
	// without the store do not count. Written is when, in Unix seconds.
	Kept    int64 `json:"kept"`
	Written int64 `json:"written"`
}

// applied is the last batch of a source.
type applied struct {
	Sequence int64 `json:"sequence"`
	// Kept is the record's Kept when the batch came, for forgetting sources.
	Kept int64 `json:"kept"`
}

// sealed names the pages of a sealed window, by the hashes of their bytes.
type sealed struct {
	Window Window   `json:"window"`
	Pages  []string `json:"pages"`
	// Reported counts the pages that the report interface has taken.
	Reported int `json:"reported"`
}

// UnmarshalJSON fills in the maps that an empty record lacks.
func (r *shardRecord) UnmarshalJSON(value []byte) error {
	type plain shardRecord
	if err := json.Unmarshal(value, (*plain)(r)); err != nil {
		return err
	}
	*r = r.clone()
	return nil
}

// clone returns a copy that can be changed without changing r.
func (r shardRecord) clone() shardRecord {
	c := r
	c.Applied = make(map[string]applied, len(r.Applied))
	maps.Copy(c.Applied, r.Applied)
	c.Open = make(map[Window]lines, len(r.Open))
	for w, l := range r.Open {
		c.Open[w] = maps.Clone(l)
	}
	c.Sealed = slices.Clone(r.Sealed)
	return c
}

// add counts figures of a window, as a correction in current, which is not
// sealed, when the window is sealed already.
func (r *shardRecord) add(key windowLine, f Figures, current Window) {
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

// maxKeptStep bounds what one write adds to Kept.
const maxKeptStep = time.Minute

// age moves Kept on to now.
func (r *shardRecord) age(now time.Time) {
	passed := now.Unix() - r.Written
	if r.Written > 0 && passed > 0 {
		r.Kept += min(passed, int64(maxKeptStep/time.Second))
	}
	r.Written = now.Unix()
}

// forgetSources drops sources that sent nothing for as long as keepers have
// kept the shard for sourceMemory.
func (r *shardRecord) forgetSources() {
	before := r.Kept - int64(sourceMemory/time.Second)
	maps.DeleteFunc(r.Applied, func(_ string, a applied) bool { return a.Kept < before })
}

const (
	// lineBytes is the encoded size of a line besides its names, at most.
	lineBytes = 170
	// maxRecordBytes leaves room for sources and sealed windows in a value.
	maxRecordBytes = backing.MaxValueBytes - 128<<10
)

// bytes estimates the encoded size of the open windows.
func (r *shardRecord) bytes() int {
	n := 0
	for _, l := range r.Open {
		for key := range l {
			n += lineBytes + len(key.Workspace) + len(key.Model)
		}
	}
	return n
}
