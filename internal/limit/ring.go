package limit

// ringSlots is the number of slots that a window is divided into. Usage leaves
// the window slot by slot, at most one slot late.
const ringSlots = 64

// ring counts tokens in a sliding window.
type ring struct {
	slot  int64
	sum   int64
	slots [ringSlots + 1]int64
}

// advance moves the end of the window to a slot and drops usage that is older
// than the window.
func (r *ring) advance(slot int64) {
	if slot-r.slot > ringSlots {
		*r = ring{slot: slot}
		return
	}
	for r.slot < slot {
		r.slot++
		at := r.slot % (ringSlots + 1)
		r.sum -= r.slots[at]
		r.slots[at] = 0
	}
}

// add counts tokens in a slot; it ignores slots that have left the window or that are
// before the first one.
func (r *ring) add(slot, tokens int64) {
	if r.slot-slot > ringSlots || slot < 0 {
		return
	}
	r.slots[slot%(ringSlots+1)] += tokens
	r.sum += tokens
}

// until returns the number of slots after which at least the given number of
// tokens has left the window.
func (r *ring) until(tokens int64) int64 {
	left := int64(0)
	for i := int64(1); i <= ringSlots+1; i++ {
		if left += r.slots[(r.slot+i)%(ringSlots+1)]; left >= tokens {
			return i
		}
	}
	return ringSlots + 1
}
