package endpoint

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// View is what the registry holds as far as it was read: keys and revisions,
// also of entries that name no endpoint. Two hosts whose views have the same sum
// have read the same. It is safe for concurrent use.
type View struct {
	mu   sync.Mutex
	keys map[string]viewed
	sum  uint64
}

// viewed is the newest that was read of a key, also of one that is gone.
type viewed struct {
	revision int64
	present  bool
	at       time.Time
}

// NewView returns the view of an empty registry.
func NewView() *View { return &View{keys: make(map[string]viewed)} }

// Put takes an entry and says whether it was news.
func (v *View) Put(now time.Time, key string, revision int64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	old, known := v.keys[key]
	if known && revision <= old.revision {
		return false
	}
	v.set(key, old, viewed{revision, true, now})
	return true
}

// Remove takes the removal of an entry at a revision and says whether it was news.
func (v *View) Remove(now time.Time, key string, revision int64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	old, known := v.keys[key]
	if known && revision <= old.revision {
		return false
	}
	v.set(key, old, viewed{revision, false, now})
	v.forget(now)
	return old.present
}

// Missing returns the keys that a listing at a revision lacks.
func (v *View) Missing(listed map[string]bool, revision int64) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var missing []string
	for key, k := range v.keys {
		if k.present && !listed[key] && k.revision <= revision {
			missing = append(missing, key)
		}
	}
	return missing
}

// Sum stands for the keys and revisions of all entries.
func (v *View) Sum() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.sum
}

// set changes what is known of a key. The caller holds mu.
func (v *View) set(key string, old, next viewed) {
	if old.present {
		v.sum -= hashEntry(key, old.revision)
	}
	if next.present {
		v.sum += hashEntry(key, next.revision)
	}
	v.keys[key] = next
}

// forget drops keys that are long gone. The caller holds mu.
func (v *View) forget(now time.Time) {
	for key, k := range v.keys {
		if !k.present && now.Sub(k.at) > memory {
			delete(v.keys, key)
		}
	}
}

func hashEntry(key string, revision int64) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	var number [8]byte
	binary.LittleEndian.PutUint64(number[:], uint64(revision))
	_, _ = d.Write(number[:])
	return d.Sum64()
}
