package member

import "time"

// A version is a hybrid logical clock: the author's milliseconds, then bits of
// the author's name, so that two authors of the same moment differ. It grows
// past every version that its author has seen, whatever the clocks say.
const authorBits = 10

// nextVersion returns a version after seen.
func nextVersion(seen uint64, author string, now time.Time) uint64 {
	bits := hashName(kindMember, author) >> (64 - authorBits)
	return max(seen+1, uint64(now.UnixMilli())<<authorBits|bits)
}

// versionTime returns when a version was made, by its author's clock.
func versionTime(version uint64) time.Time {
	return time.UnixMilli(int64(version >> authorBits))
}
