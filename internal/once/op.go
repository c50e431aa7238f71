package once

import "sync/atomic"

// op is one line to append to a shard's log.
type op struct {
	entry entry
	// fresh asks for a read of the head before the key is looked up.
	fresh bool
	// result receives the outcome of a claim; it is buffered.
	result chan opResult
	// owner decides whether the waiter or the shard's loop settles a claim.
	owner atomic.Int32
	// recorded is called once a line that is no claim is in the store or was
	// dropped. It may be nil.
	recorded func()
	// force asks for a line in the log also when the key is absent, so that
	// an older write that is still under way can't take effect.
	force bool
}

// The values of op.owner.
const (
	opWaiting int32 = iota
	opForsaken
	opSettled
)

// opResult is the outcome of a claim.
type opResult struct {
	// found is what already holds the key; nil: the key was claimed.
	found *record
	err   error
}

func (o *op) isClaim() bool { return o.entry.State == stateClaimed }

// settle hands the outcome to the waiter and reports whether one was there.
func (o *op) settle(r opResult) bool {
	if !o.owner.CompareAndSwap(opWaiting, opSettled) {
		return false
	}
	o.result <- r
	return true
}

// done tells that the line is recorded or never will be.
func (o *op) done() {
	if o.recorded != nil {
		o.recorded()
	}
}

// forsake is called by a waiter that gives up. It reports false when the
// outcome was already handed over and must be read.
func (o *op) forsake() bool { return o.owner.CompareAndSwap(opWaiting, opForsaken) }

// bytes estimates the encoded size of the line.
func (o *op) bytes() int {
	const lineBytes = 160
	n := lineBytes
	if r := o.entry.Response; r != nil {
		n += responseBytes(r) * 4 / 3
	}
	return n
}
