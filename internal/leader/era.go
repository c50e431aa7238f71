package leader

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
)

// eraKey is the store key of when the store's era was first noticed.
const eraKey = "acacialink/era"

// eraRecord is the value of eraKey. One of an older era is from a copy.
type eraRecord struct {
	Era             int64 `json:"era"`
	NoticedAtMillis int64 `json:"noticed_at_ms"`
}

// EraNotice is what a process saw of the begin of an era of the store.
type EraNotice struct {
	// Era is the era, 0 for none.
	Era int64
	// At is when the process saw it, by the time of day that hosts agree on.
	At time.Time
	// Led reports whether its host was the leader by then: no other was when the store was
	// lost.
	Led bool
}

// eraLog keeps in the store by when its era had begun, for leaders that start later.
type eraLog struct {
	store backing.Store
	// now returns the time of day that hosts agree on.
	now func() time.Time
	// noticed returns what this process saw of the latest era that it saw begin.
	noticed func() EraNotice

	// era is the era whose time is known, 0 for none, and begun that time.
	era   int64
	begun time.Time
}

// begunBy returns a time by which the store's era had begun; the zero time if the store has
// no eras.
func (l *eraLog) begunBy(ctx context.Context) (time.Time, error) {
	era := backing.EraOf(l.store)
	if era == 0 || era == l.era {
		return l.begun, nil
	}
	kv, err := l.store.Get(ctx, eraKey)
	if err != nil && !errors.Is(err, backing.ErrNotFound) {
		return time.Time{}, errors.Wrap(err, "read the store's era")
	}
	var record eraRecord
	if err == nil && json.Unmarshal(kv.Value, &record) == nil && record.Era == era {
		l.era, l.begun = era, time.UnixMilli(record.NoticedAtMillis)
		return l.begun, nil
	}
	begun := l.now()
	if notice := l.noticed(); notice.Era == era {
		begun = notice.At
	}
	value, err := json.Marshal(eraRecord{Era: era, NoticedAtMillis: begun.UnixMilli()})
	if err != nil {
		return time.Time{}, errors.Wrap(err, "encode the store's era")
	}
	written, err := l.store.CompareAndSwap(ctx, eraKey, kv.Revision, value, 0)
	if err != nil {
		return time.Time{}, errors.Wrap(err, "write the store's era")
	}
	if backing.EraOf(l.store) != era {
		return time.Time{}, errors.Wrapf(backing.ErrUnavailable, "the store was restored after revision %d", written)
	}
	l.era, l.begun = era, begun
	return l.begun, nil
}
