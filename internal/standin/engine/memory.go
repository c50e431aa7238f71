package engine

import "container/list"

// memory counts pieces: private ones of sequences, and cached prefix pieces,
// which sequences may share and which stay until room is needed.
type memory struct {
	total   int
	private int
	cached  map[uint64]*piece
	// idle lists the cached pieces that no sequence uses, oldest first.
	idle *list.List
	// changed is told of each piece that enters or leaves the cache.
	changed func(prefix uint64, evicted bool)
}

type piece struct {
	prefix uint64
	users  int
	place  *list.Element
}

func newMemory(total int, changed func(uint64, bool)) *memory {
	return &memory{total: total, cached: make(map[uint64]*piece), idle: list.New(), changed: changed}
}

// free is the number of pieces that a sequence could get, evictions included.
func (m *memory) free() int { return m.total - m.private - len(m.cached) + m.idle.Len() }

// hits is how many leading prefixes are cached.
func (m *memory) hits(prefixes []uint64) int {
	for i, prefix := range prefixes {
		if m.cached[prefix] == nil {
			return i
		}
	}
	return len(prefixes)
}

// reserve takes need pieces, of which the leading cached prefixes are shared,
// and returns how many those are; false if there is no room.
func (m *memory) reserve(prefixes []uint64, need int) (int, bool) {
	hits := m.hits(prefixes)
	idleHits := 0
	for _, prefix := range prefixes[:hits] {
		if m.cached[prefix].users == 0 {
			idleHits++
		}
	}
	if m.free()-idleHits < need-hits {
		return 0, false
	}
	for _, prefix := range prefixes[:hits] {
		m.use(m.cached[prefix])
	}
	m.private += need - hits
	m.evict()
	return hits, true
}

// publish turns private pieces of a sequence into shared cached ones once
// their prefix is computed. It returns how many became cached.
func (m *memory) publish(prefixes []uint64) int {
	for _, prefix := range prefixes {
		m.private--
		p := m.cached[prefix]
		if p == nil {
			p = &piece{prefix: prefix}
			m.cached[prefix] = p
			m.changed(prefix, false)
		}
		m.use(p)
	}
	return len(prefixes)
}

// release gives back a sequence's private pieces and its use of shared ones.
func (m *memory) release(shared []uint64, private int) {
	m.private -= private
	for _, prefix := range shared {
		p := m.cached[prefix]
		p.users--
		if p.users == 0 {
			p.place = m.idle.PushBack(p)
		}
	}
}

func (m *memory) use(p *piece) {
	p.users++
	if p.place != nil {
		m.idle.Remove(p.place)
		p.place = nil
	}
}

// evict drops the longest unused cached pieces until all pieces fit.
func (m *memory) evict() {
	for m.private+len(m.cached) > m.total && m.idle.Len() > 0 {
		oldest := m.idle.Front()
		p := m.idle.Remove(oldest).(*piece)
		delete(m.cached, p.prefix)
		m.changed(p.prefix, true)
	}
}
