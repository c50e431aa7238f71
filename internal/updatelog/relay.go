package updatelog

// maxSenders bounds the senders of updates that are told apart.
const maxSenders = 4096

// Relay retains the updates of this process and of others, and hands each of them on
// once. A Relay must be created by NewRelay. It is not safe for concurrent use.
type Relay[T any] struct {
	// own holds the updates of this process and those that it relays. all holds in
	// addition those received from other processes.
	own, all *Log[T]
	// applied is the number of the next update expected from each sender, so that an
	// update that is delivered twice counts once.
	applied map[string]int64
}

// NewRelay returns an empty relay that retains at most limit updates of each kind.
func NewRelay[T any](limit int) *Relay[T] {
	return &Relay[T]{own: New[T](limit), all: New[T](limit), applied: make(map[string]int64)}
}

// Append retains an update of this process.
func (r *Relay[T]) Append(update T) {
	r.own.Append(update)
	r.all.Append(update)
}

// Receive retains updates that a sender numbered from first on, the next one being
// next, and returns those that are new. With relay, they are retained like those of this
// process.
func (r *Relay[T]) Receive(sender string, first, next int64, updates []T, relay bool) []T {
	if skip := r.applied[sender] - first; skip > 0 {
		updates = updates[min(skip, int64(len(updates))):]
	}
	if len(r.applied) >= maxSenders {
		clear(r.applied)
	}
	r.applied[sender] = max(r.applied[sender], next)
	for _, u := range updates {
		r.all.Append(u)
		if relay {
			r.own.Append(u)
		}
	}
	return updates
}

// OwnSince returns the retained updates of this process, and those that it relays, from
// a number on; see Log.Since.
func (r *Relay[T]) OwnSince(number int64) (updates []T, first, next int64) {
	return r.own.Since(number)
}

// AllSince returns all retained updates from a number on. The numbers differ from those
// of OwnSince.
func (r *Relay[T]) AllSince(number int64) (updates []T, first, next int64) {
	return r.all.Since(number)
}
