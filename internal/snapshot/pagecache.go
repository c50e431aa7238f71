package snapshot

import (
	"sync"
	"time"

	"github.com/acacialink/acacialink/internal/resource"
)

// pageRetention is how long encoded pages are retained after the last request.
const pageRetention = 30 * time.Second

// pageCache caches the encoded pages of one snapshot for peers that load it.
// Peers that load at about the same time share the snapshot and fetch later
// changes afterwards.
type pageCache struct {
	mu       sync.Mutex
	revision resource.Revision
	pages    [][]byte
	lastUsed time.Time
}

// get returns the cached pages if they are of the given revision or the revision
// is zero. Otherwise it encodes the current view. It returns the revision of the
// pages.
func (c *pageCache) get(revision resource.Revision, current func() *View) (resource.Revision, [][]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastUsed = time.Now()
	if c.pages != nil && (revision == 0 || revision == c.revision) {
		return c.revision, c.pages, nil
	}
	view := current()
	pages, err := encodePages(view)
	if err != nil {
		return 0, nil, err
	}
	c.revision, c.pages = view.revision, pages
	return c.revision, c.pages, nil
}

// expire drops pages that have not been requested for pageRetention.
func (c *pageCache) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pages != nil && time.Since(c.lastUsed) > pageRetention {
		c.pages = nil
	}
}
