package endpoint

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/acacialink/acacialink/internal/backing"
)

// RegistryView tracks the keys and revisions of the registry's entries as read
// by this process, including entries that describe no endpoint. Two hosts whose
// views have the same sum have read the same state. It is safe for concurrent use.
type RegistryView struct {
	mu      sync.Mutex
	entries map[string]entryState
	sum     uint64
}

// entryState is the latest state read of an entry, which may be deleted.
type entryState struct {
	revision  backing.Revision
	present   bool
	updatedAt time.Time
}

// NewRegistryView returns a view of an empty registry.
func NewRegistryView() *RegistryView { return &RegistryView{entries: make(map[string]entryState)} }

// Put applies an entry and reports whether it changed the view.
func (v *RegistryView) Put(now time.Time, key string, revision backing.Revision) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	old, known := v.entries[key]
	if known && revision <= old.revision {
		return false
	}
	v.set(key, old, entryState{revision, true, now})
	return true
}

// Remove applies the deletion of an entry at a revision and reports whether the
// entry was present.
func (v *RegistryView) Remove(now time.Time, key string, revision backing.Revision) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	old, known := v.entries[key]
	if known && revision <= old.revision {
		return false
	}
	v.set(key, old, entryState{revision, false, now})
	v.removeExpired(now)
	return old.present
}

// Missing returns the keys of present entries that a listing as of revision
// lacks, without entries newer than the listing.
func (v *RegistryView) Missing(listed map[string]bool, revision backing.Revision) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var missing []string
	for key, entry := range v.entries {
		if entry.present && !listed[key] && entry.revision <= revision {
			missing = append(missing, key)
		}
	}
	return missing
}

// Sum returns a checksum over the keys and revisions of all present entries. It
// is independent of the order of updates.
func (v *RegistryView) Sum() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.sum
}

// set replaces the state of an entry. The caller holds mu.
func (v *RegistryView) set(key string, old, next entryState) {
	if old.present {
		v.sum -= hashEntry(key, old.revision)
	}
	if next.present {
		v.sum += hashEntry(key, next.revision)
	}
	v.entries[key] = next
}

// removeExpired drops tombstones older than tombstoneTTL. The caller holds mu.
func (v *RegistryView) removeExpired(now time.Time) {
	for key, entry := range v.entries {
		if !entry.present && now.Sub(entry.updatedAt) > tombstoneTTL {
			delete(v.entries, key)
		}
	}
}

func hashEntry(key string, revision backing.Revision) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	var buf [8]byte
	binary.LittleEndian.PutUint64(buf[:], uint64(revision))
	_, _ = digest.Write(buf[:])
	return digest.Sum64()
}
