package usage

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
)

// shardRecord is the state of one shard in the store.
type shardRecord struct {
	// Fence is the fencing token of the owner that wrote the record.
	Fence int64 `json:"fence"`
	// Applied is the last batch applied for each source.
	Applied map[string]appliedBatch `json:"applied"`
	// Open contains the figures of the windows that are not sealed.
	Open map[Window]lines `json:"open"`
	// Sealed lists the windows whose pages are immutable but not all reported,
	// oldest first.
	Sealed []sealedWindow `json:"sealed,omitempty"`
	// Watermark is the latest window that was sealed or skipped. Figures for it and
	// for earlier windows are recorded as corrections.
	Watermark Window `json:"watermark"`
	// OwnedSeconds is the total time, in seconds, for which hosts have owned the shard.
	// Store outages do not count.
	OwnedSeconds int64 `json:"kept"`
	// WrittenAt is the time of the last update of OwnedSeconds, in Unix seconds.
	WrittenAt int64 `json:"written"`
}

// appliedBatch is the last batch applied for a source.
type appliedBatch struct {
	Sequence int64 `json:"sequence"`
	// OwnedSeconds is the record's OwnedSeconds at the time the batch was applied.
	// It determines when the source expires.
	OwnedSeconds int64 `json:"kept"`
}

// sealedWindow identifies the pages of a sealed window by the hashes of their encodings.
type sealedWindow struct {
	Window Window   `json:"window"`
	Pages  []string `json:"pages"`
	// Reported is the number of pages that the report interface has accepted.
	Reported int `json:"reported"`
}

// UnmarshalJSON implements json.Unmarshaler. It allocates the maps that an empty
// record lacks.
func (r *shardRecord) UnmarshalJSON(value []byte) error {
	type plain shardRecord
	if err := json.Unmarshal(value, (*plain)(r)); err != nil {
		return err
	}
	*r = r.clone()
	return nil
}

// clone returns a deep copy of r, except for the page hashes of sealed windows, which
// are immutable and shared.
func (r shardRecord) clone() shardRecord {
	clone := r
	clone.Applied = make(map[string]appliedBatch, len(r.Applied))
	maps.Copy(clone.Applied, r.Applied)
	clone.Open = make(map[Window]lines, len(r.Open))
	for window, lines := range r.Open {
		clone.Open[window] = maps.Clone(lines)
	}
	clone.Sealed = slices.Clone(r.Sealed)
	return clone
}

// add adds figures to the window in key. If that window is sealed already, they are
// added to current, which must not be sealed, as a correction.
func (r *shardRecord) add(key windowLine, figures Figures, current Window) {
	target := key.Window
	line := lineKey{Line: key.Line}
	if key.Window <= r.Watermark {
		target = current
		line.CorrectionFor = key.Window
	}
	if r.Open[target] == nil {
		r.Open[target] = make(lines)
	}
	r.Open[target][line] = r.Open[target][line].Plus(figures)
}

// maxOwnedStep bounds the time that one write adds to OwnedSeconds.
const maxOwnedStep = time.Minute

// advanceOwnedTime adds the time since the last write to OwnedSeconds, at most
// maxOwnedStep.
func (r *shardRecord) advanceOwnedTime(now time.Time) {
	elapsed := now.Unix() - r.WrittenAt
	if r.WrittenAt > 0 && elapsed > 0 {
		r.OwnedSeconds += min(elapsed, int64(maxOwnedStep/time.Second))
	}
	r.WrittenAt = now.Unix()
}

// dropIdleSources removes the sources that have sent nothing for sourceRetention,
// measured in the time for which the shard was owned.
func (r *shardRecord) dropIdleSources() {
	expiry := r.OwnedSeconds - int64(sourceRetention/time.Second)
	maps.DeleteFunc(r.Applied, func(_ string, batch appliedBatch) bool { return batch.OwnedSeconds < expiry })
}

const (
	// maxLineOverheadBytes is the maximum encoded size of a line without its names.
	maxLineOverheadBytes = 170
	// maxRecordBytes bounds the open windows of a record. The rest of a store value
	// is reserved for sources and sealed windows.
	maxRecordBytes = backing.MaxValueBytes - 128<<10
)

// estimateBytes estimates the encoded size of the open windows in bytes.
func (r *shardRecord) estimateBytes() int {
	size := 0
	for _, lines := range r.Open {
		for key := range lines {
			size += maxLineOverheadBytes + len(key.Workspace) + len(key.Model)
		}
	}
	return size
}
