package backing

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// eraShift is the position of the era in a revision; the bits below hold the number that
	// the store gave.
	eraShift = 40
	// maxEra keeps fencing tokens, which are revisions, exact in a float64.
	maxEra = 1<<13 - 1
)

// ErrOutOfRange reports an era or a number of the store that no revision can hold.
var ErrOutOfRange = errors.New("the store's era or number is out of range")

// NewRevision returns the revision of a number that the store gave in an era. A store that is
// restored from an older copy gives numbers out again, and later ones are lower than earlier
// ones; the era, which rises by one each time, orders them.
//
// The number 0 stands for none in each era.
func NewRevision(era, number int64) (Revision, error) {
	if era < 0 || era > maxEra || number < 0 || number >= 1<<eraShift {
		return 0, ErrOutOfRange
	}
	if number == 0 {
		return 0, nil
	}
	return Revision(era<<eraShift | number), nil
}

// Era returns the era of the revision.
func (r Revision) Era() int64 { return int64(r) >> eraShift }

// Number returns what the store gave in the revision's era.
func (r Revision) Number() int64 { return int64(r) & (1<<eraShift - 1) }

// EraSource is a store that may come back from an older copy of itself. Its era rises by one
// each time; what was written since the copy is gone then, and revisions and leases are given
// out again.
type EraSource interface {
	// Era returns the latest era known; 0 if none is.
	Era() int64
	// OnEra sets a function that is called with each later era, and with the one before it,
	// which is 0 at first. It is called before the store is used.
	OnEra(changed func(before, now int64))
}

// Eras tracks the era of a store. It is safe for concurrent use.
type Eras struct {
	current atomic.Int64
	changed func(before, now int64)
}

// Era implements EraSource.
func (e *Eras) Era() int64 { return e.current.Load() }

// OnEra implements EraSource.
func (e *Eras) OnEra(changed func(before, now int64)) { e.changed = changed }

// Observe records the era of an answer. It returns false if the answer is late: a later era
// is known, in which what it says may be gone.
func (e *Eras) Observe(era int64) bool {
	for {
		before := e.current.Load()
		if era <= before {
			return era == before
		}
		if !e.current.CompareAndSwap(before, era) {
			continue
		}
		if e.changed != nil {
			e.changed(before, era)
		}
		return true
	}
}

// EraOf returns the latest era known of a store; 0 if it has none.
func EraOf(s Store) int64 {
	if source, ok := s.(EraSource); ok {
		return source.Era()
	}
	return 0
}

// EraLeases holds the leases that this process was granted in the current era of a store. A
// lease of an older era is taken for ended: the store may have lost it, and granted one of the
// same ID to another process. It is safe for concurrent use.
type EraLeases struct {
	mu  sync.Mutex // guards the fields below
	era int64
	// until holds when each lease ends unless it is renewed.
	until map[LeaseID]time.Time
}

// Granted records that a lease was granted or renewed in an era.
func (l *EraLeases) Granted(now time.Time, era int64, lease Lease) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if era < l.era {
		return
	}
	if era > l.era || l.until == nil {
		l.era, l.until = era, make(map[LeaseID]time.Time)
	}
	for id, until := range l.until {
		if now.After(until) {
			delete(l.until, id)
		}
	}
	l.until[lease.ID] = now.Add(2 * lease.TTL) // the store may pause leases while it is down
}

// Holds reports whether a lease was granted in an era.
func (l *EraLeases) Holds(era int64, id LeaseID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.until[id]
	return ok && l.era == era
}
