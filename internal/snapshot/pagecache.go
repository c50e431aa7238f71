package snapshot

import (
	"sync"
	"time"

	"github.com/acacialink/acacialink/internal/resource"
)

// pageKeep is how long encoded pages are kept after the last reader.
const pageKeep = 30 * time.Second

// pageCache holds one snapshot in pages for peers that load it. Readers of one
// burst share it and catch up with changes afterwards.
type pageCache struct {
	mu       sync.Mutex
	revision resource.Revision
	pages    [][]byte
	used     time.Time
}

// get returns the pages of the snapshot at the revision if it is held, and
// otherwise those of a current one.
func (c *pageCache) get(revision resource.Revision, current func() *View) (resource.Revision, [][]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.used = time.Now()
	if c.pages != nil && (revision == 0 || revision == c.revision) {
		return c.revision, c.pages, nil
	}
	v := current()
	pages, err := encodePages(v)
	if err != nil {
		return 0, nil, err
	}
	c.revision, c.pages = v.revision, pages
	return c.revision, c.pages, nil
}

// expire frees the pages when nobody has read them for a while.
func (c *pageCache) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pages != nil && time.Since(c.used) > pageKeep {
		c.pages = nil
	}
}
