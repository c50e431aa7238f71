package idempotency

import "sync/atomic"

// op appends one entry to the log of a shard.
type op struct {
	entry entry
	// refresh requires that the head is read before the key is looked up.
	refresh bool
	// result receives the result of a claim. It has a buffer of one.
	result chan opResult
	// status determines whether the waiter cancels a claim or the commit loop
	// settles it, whichever comes first.
	status atomic.Int32
	// onRecorded, unless nil, is called once an outcome is in the store or was
	// dropped.
	onRecorded func()
	// force requires a write even if the key is not claimed. It changes the
	// head's revision, so that an older write that is still in flight fails.
	force bool
}

// Values of op.status.
const (
	opWaiting int32 = iota
	opCanceled
	opSettled
)

// opResult is the result of a claim.
type opResult struct {
	// existing is the record that already claims the key; nil if the key was
	// claimed by this op.
	existing *record
	err      error
}

func (o *op) isClaim() bool { return o.entry.State == stateClaimed }

// settle passes the result to the waiter. It returns false if the waiter has
// given up.
func (o *op) settle(r opResult) bool {
	if !o.status.CompareAndSwap(opWaiting, opSettled) {
		return false
	}
	o.result <- r
	return true
}

// notifyRecorded is called once the entry is recorded or dropped.
func (o *op) notifyRecorded() {
	if o.onRecorded != nil {
		o.onRecorded()
	}
}

// cancel is called by a waiter that gives up. It returns false if the op is
// already settled; the waiter must then read the result.
func (o *op) cancel() bool { return o.status.CompareAndSwap(opWaiting, opCanceled) }

// bytes estimates the encoded size of the entry in bytes.
func (o *op) bytes() int {
	const entryOverheadBytes = 160
	n := entryOverheadBytes
	if r := o.entry.Response; r != nil {
		n += responseBytes(r) * 4 / 3
	}
	return n
}
