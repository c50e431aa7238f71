package kv

import (
	"bytes"
	"strings"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/cespare/xxhash/v2"
)

// put writes a key whose revision was checked. Called with mu held.
func (s *Store) put(client, key string, value []byte, id backing.LeaseID) backing.Revision {
	old := s.keys[key]
	s.detach(old)
	s.revision++
	item := backing.KeyValue{Key: key, Value: bytes.Clone(value), Revision: s.revision, Lease: id}
	s.keys[key] = item
	if l := s.leases[id]; l != nil {
		l.keys[key] = struct{}{}
	}
	s.addEvent(backing.Event{KeyValue: item})
	s.addRecord(Write{
		Client: client, Key: key, Revision: s.revision, Expect: old.Revision, Lease: id,
		Hash: xxhash.Sum64(value), Size: len(value),
	})
	return s.revision
}

// remove deletes a key that exists. Called with mu held.
func (s *Store) remove(client, key string, expired bool) {
	old := s.keys[key]
	s.detach(old)
	delete(s.keys, key)
	s.revision++
	gone := backing.KeyValue{Key: key, Revision: s.revision}
	s.addEvent(backing.Event{KeyValue: gone, Deleted: true})
	s.addRecord(Write{
		Client: client, Key: key, Revision: s.revision, Expect: old.Revision, Lease: old.Lease,
		Deleted: true, Expired: expired,
	})
}

func (s *Store) detach(item backing.KeyValue) {
	if l := s.leases[item.Lease]; l != nil {
		delete(l.keys, item.Key)
	}
}

func (s *Store) addEvent(e backing.Event) {
	s.history = append(s.history, e)
	if drop := len(s.history) - s.options.HistoryEvents; drop > 0 {
		s.compacted = s.history[drop-1].Revision
		s.history = s.history[drop:]
	}
	for w := range s.watchers {
		if strings.HasPrefix(e.Key, w.prefix) {
			w.wake()
		}
	}
}

func (s *Store) addRecord(w Write) {
	w.At = time.Now()
	s.record = append(s.record, w)
	if drop := len(s.record) - s.options.RecordWrites; drop > 0 {
		s.record = s.record[drop:]
	}
}
