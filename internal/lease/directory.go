package lease

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
)

// Directory caches the holder of each shard. It is updated by one long-polling
// watch of the store and retains its last state during an outage of the store. It
// is safe for concurrent use.
type Directory struct {
	store backing.Store

	mu sync.Mutex
	// holders holds the holder of each shard. Guarded by mu.
	holders map[string]Holder
	// loaded reports whether the store has been read. Guarded by mu.
	loaded bool
}

// Holder is the host that holds a shard.
type Holder struct {
	// Host is the name of the host.
	Host string `json:"host"`
	// Fence is the fencing token of the shard.
	Fence int64 `json:"fence"`
}

// NewDirectory returns an empty Directory.
func NewDirectory(store backing.Store) *Directory {
	return &Directory{store: store, holders: make(map[string]Holder)}
}

// Holder returns the holder of a shard from the cached state, and false if none
// is known.
func (d *Directory) Holder(shard string) (Holder, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h, ok := d.holders[shard]
	return h, ok
}

// All returns a copy of the holders of all shards.
func (d *Directory) All() map[string]Holder {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make(map[string]Holder, len(d.holders))
	for shard, h := range d.holders {
		all[shard] = h
	}
	return all
}

const (
	// watchWait is the time that one watch call waits for events.
	watchWait = 30 * time.Second
	// watchRetry is the delay after a failed call.
	watchRetry = time.Second
	// watchTimeout bounds a call in addition to the time that it waits.
	watchTimeout = 3 * time.Second
)

// Run watches the store until ctx is canceled.
func (d *Directory) Run(ctx context.Context) {
	watcher := backing.PrefixWatcher{
		Store: d.store, Prefix: keyPrefix,
		PollWait: watchWait, Timeout: watchTimeout, RetryDelay: watchRetry,
		Replace: d.replace, Apply: d.apply,
	}
	watcher.Run(ctx)
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
	d.holders, d.loaded = holders, true
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
	var h holderValue
	if json.Unmarshal(kv.Value, &h) != nil {
		return "", Holder{}, false
	}
	return strings.TrimPrefix(kv.Key, keyPrefix), Holder{Host: h.Host, Fence: int64(kv.Revision)}, true
}
