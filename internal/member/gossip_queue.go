package member

// gossipQueue holds the records that are still to be gossiped. Records that
// were sent least often come first.
type gossipQueue struct {
	// levels holds the records by the number of sends left. A record may
	// have a stale entry at a level that it has left; next drops it.
	levels [maxSends + 1][]*record
}

// add queues a record at the level of its sendsLeft.
func (q *gossipQueue) add(r *record) {
	q.levels[r.sendsLeft] = append(q.levels[r.sendsLeft], r)
}

// next returns records until their encoded size reaches about budget bytes, and
// decrements their sendsLeft. Records for which skip returns true stay queued.
func (q *gossipQueue) next(budget int, skip func(*record) bool) []*record {
	var selected, skipped []*record
	for level := maxSends; level > 0 && budget > 0; level-- {
		list := q.levels[level]
		examined := 0
		for _, r := range list {
			if budget <= 0 {
				break
			}
			examined++
			switch {
			case r.sendsLeft != level:
			case skip(r):
				skipped = append(skipped, r)
			default:
				selected = append(selected, r)
				budget -= r.encodedSize()
			}
		}
		q.levels[level] = append(list[:0], list[examined:]...)
	}
	for _, r := range skipped {
		q.levels[r.sendsLeft] = append(q.levels[r.sendsLeft], r)
	}
	for _, r := range selected {
		r.sendsLeft--
		if r.sendsLeft > 0 {
			q.levels[r.sendsLeft] = append(q.levels[r.sendsLeft], r)
		}
	}
	return selected
}

// recordOverheadBytes estimates a record's encoded size without its strings.
const recordOverheadBytes = 24

// encodedSize estimates the record's size in a message, in bytes.
func (r *record) encodedSize() int {
	n := recordOverheadBytes + len(r.name)
	if r.kind == kindEndpoint && r.state.suspectOrGone() {
		return n
	}
	n += len(r.incarnation) + len(r.domain) + len(r.address) + len(r.info.Role)
	for _, m := range r.info.Models {
		n += 2 + len(m)
	}
	for _, a := range r.info.Adapters {
		n += 2 + len(a)
	}
	return n
}
