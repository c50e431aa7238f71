package member

// hotQueue holds the records that still travel, those sent least often first.
type hotQueue struct {
	// levels holds records by the sends they have left. A record may stand
	// at a level that it left; it is skipped there.
	levels [mostSends + 1][]*record
}

// add queues a record at the level of its sends.
func (q *hotQueue) add(r *record) {
	q.levels[r.sends] = append(q.levels[r.sends], r)
}

// take returns records of at most size bytes and counts them as sent once
// more. It leaves out those for which skip is true.
func (q *hotQueue) take(size int, skip func(*record) bool) []*record {
	var taken, kept []*record
	for level := mostSends; level > 0 && size > 0; level-- {
		list := q.levels[level]
		used := 0
		for _, r := range list {
			if size <= 0 {
				break
			}
			used++
			switch {
			case r.sends != level:
			case skip(r):
				kept = append(kept, r)
			default:
				taken = append(taken, r)
				size -= r.size()
			}
		}
		q.levels[level] = append(list[:0], list[used:]...)
	}
	for _, r := range kept {
		q.levels[r.sends] = append(q.levels[r.sends], r)
	}
	for _, r := range taken {
		r.sends--
		if r.sends > 0 {
			q.levels[r.sends] = append(q.levels[r.sends], r)
		}
	}
	return taken
}

// recordOverhead is an estimate of a record's encoding beside its texts.
const recordOverhead = 24

// size estimates the record's bytes in a message.
func (r *record) size() int {
	n := recordOverhead + len(r.name)
	if r.kind == kindEndpoint && r.state.silent() {
		return n
	}
	n += len(r.incarnation) + len(r.domain) + len(r.address) + len(r.word.Role)
	for _, m := range r.word.Models {
		n += 2 + len(m)
	}
	for _, a := range r.word.Adapters {
		n += 2 + len(a)
	}
	return n
}
