package kv

import (
	"bytes"
	"strings"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/cespare/xxhash/v2"
)

// put writes a key and returns its new revision. The caller must hold mu and
// have checked the expected revision.
func (s *Store) put(client, key string, value []byte, id backing.LeaseID) backing.Revision {
	old := s.keys[key]
	s.detachFromLease(old)
	s.revision++
	item := backing.KeyValue{Key: key, Value: bytes.Clone(value), Revision: s.revision, Lease: id}
	s.keys[key] = item
	if l := s.leases[id]; l != nil {
		l.keys[key] = struct{}{}
	}
	s.addEvent(backing.Event{KeyValue: item})
	s.recordWrite(Write{
		Client: client, Key: key, Revision: s.revision, Expect: old.Revision, Lease: id,
		Hash: xxhash.Sum64(value), Size: len(value),
	})
	return s.revision
}

// remove deletes an existing key. The caller must hold mu.
func (s *Store) remove(client, key string, expired bool) {
	old := s.keys[key]
	s.detachFromLease(old)
	delete(s.keys, key)
	s.revision++
	deleted := backing.KeyValue{Key: key, Revision: s.revision}
	s.addEvent(backing.Event{KeyValue: deleted, Deleted: true})
	s.recordWrite(Write{
		Client: client, Key: key, Revision: s.revision, Expect: old.Revision, Lease: old.Lease,
		Deleted: true, Expired: expired,
	})
}

// detachFromLease removes the key from its lease, if any. The caller must hold
// mu.
func (s *Store) detachFromLease(item backing.KeyValue) {
	if l := s.leases[item.Lease]; l != nil {
		delete(l.keys, item.Key)
	}
}

// addEvent appends an event to the history, drops events beyond
// Options.HistoryEvents and wakes the watchers of the key. The caller must hold
// mu.
func (s *Store) addEvent(e backing.Event) {
	s.history = append(s.history, e)
	if excess := len(s.history) - s.options.HistoryEvents; excess > 0 {
		s.compacted = s.history[excess-1].Revision
		s.history = s.history[excess:]
	}
	for w := range s.watchers {
		if strings.HasPrefix(e.Key, w.prefix) {
			w.wake()
		}
	}
}

// recordWrite appends a write to the record and drops writes beyond
// Options.RecordWrites. The caller must hold mu.
func (s *Store) recordWrite(w Write) {
	w.At = time.Now()
	s.record = append(s.record, w)
	if excess := len(s.record) - s.options.RecordWrites; excess > 0 {
		s.record = s.record[excess:]
	}
}
