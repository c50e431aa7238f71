package member

import "time"

// A version is a hybrid logical clock: the author's Unix time in milliseconds,
// followed by authorBits bits of a hash of the author's name, so that versions of
// two authors in the same millisecond differ. It is greater than every version
// that its author has seen, regardless of clock skew.
const authorBits = 10

// nextVersion returns a version greater than seen.
func nextVersion(seen uint64, author string, now time.Time) uint64 {
	bits := recordID(kindMember, author) >> (64 - authorBits)
	return max(seen+1, uint64(now.UnixMilli())<<authorBits|bits)
}

// versionTime returns the time of a version by its author's clock, to the
// millisecond.
func versionTime(version uint64) time.Time {
	return time.UnixMilli(int64(version >> authorBits))
}
