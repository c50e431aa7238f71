package lease

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
)

// Directory knows who holds which piece, from one waiting watch of the store.
// In an outage it keeps what it last knew. It is safe for concurrent use.
type Directory struct {
	store backing.Store

	mu      sync.Mutex
	holders map[string]Holder
	// known is true once the store was read.
	known bool
}

// Holder is who holds a piece.
type Holder struct {
	Host string `json:"host"`
	// Fence is the piece's fencing number.
	Fence int64 `json:"fence"`
}

// NewDirectory returns a directory that knows nothing yet.
func NewDirectory(store backing.Store) *Directory {
	return &Directory{store: store, holders: make(map[string]Holder)}
}

// Owner returns the holder of a piece, as far as this host knows.
func (d *Directory) Owner(piece string) (Holder, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h, ok := d.holders[piece]
	return h, ok
}

// All returns the holders of all pieces.
func (d *Directory) All() map[string]Holder {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make(map[string]Holder, len(d.holders))
	for piece, h := range d.holders {
		all[piece] = h
	}
	return all
}

// The times of a directory: how long one watch waits, the pause after a
// failure, and the bound on a call besides its wait.
const (
	watchWait    = 30 * time.Second
	watchRetry   = time.Second
	watchTimeout = 3 * time.Second
)

// Run follows the store until ctx ends.
func (d *Directory) Run(ctx context.Context) {
	f := backing.Follower{
		Store: d.store, Prefix: keyPrefix,
		Wait: watchWait, Timeout: watchTimeout, Retry: watchRetry,
		Replace: d.replace, Apply: d.apply,
	}
	f.Run(ctx)
}

func (d *Directory) replace(items []backing.KeyValue) error {
	holders := make(map[string]Holder, len(items))
	for _, kv := range items {
		if name, h, ok := decodeHolder(kv); ok {
			holders[name] = h
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.holders, d.known = holders, true
	return nil
}

func (d *Directory) apply(events []backing.Event) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range events {
		if e.Deleted {
			delete(d.holders, strings.TrimPrefix(e.Key, keyPrefix))
			continue
		}
		if name, h, ok := decodeHolder(e.KeyValue); ok {
			d.holders[name] = h
		}
	}
	return nil
}

func decodeHolder(kv backing.KeyValue) (string, Holder, bool) {
	var h holder
	if json.Unmarshal(kv.Value, &h) != nil {
		return "", Holder{}, false
	}
	return strings.TrimPrefix(kv.Key, keyPrefix), Holder{Host: h.Host, Fence: int64(kv.Revision)}, true
}
