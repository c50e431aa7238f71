package kv

const (
	defaultHistoryEvents = 10_000
	defaultRecordWrites  = 100_000
	maxWatchEvents       = 1_000
	maxPrefixes          = 1_000
)

// Options configures a Store. The zero value is a store without rate limits.
type Options struct {
	// HistoryEvents is the number of past events available to watches; zero
	// means 10,000.
	HistoryEvents int
	// RecordWrites is the maximum number of writes in the record; zero means
	// 100,000.
	RecordWrites int
	// WritesPerSecond and ReadsPerSecond are rate limits; zero means no limit.
	// Calls above the rate fail with backing.ErrUnavailable. A watch is a read.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// Seed makes the choices of LoseAnswers and DelayWrites reproducible.
	Seed uint64
}

func (o Options) withDefaults() Options {
	if o.HistoryEvents <= 0 {
		o.HistoryEvents = defaultHistoryEvents
	}
	if o.RecordWrites <= 0 {
		o.RecordWrites = defaultRecordWrites
	}
	return o
}
