package kv

const (
	defaultHistoryEvents = 10_000
	defaultRecordWrites  = 100_000
	maxWatchEvents       = 1_000
	maxPrefixes          = 1_000
)

// Options configure a Store. The zero value is a store without rate limits.
type Options struct {
	// HistoryEvents is how many events a watch can look back; zero means 10,000.
	HistoryEvents int
	// RecordWrites is how many writes the record holds; zero means 100,000.
	RecordWrites int
	// WritesPerSecond and ReadsPerSecond refuse calls above the rate with
	// backing.ErrUnavailable; zero means no limit. A watch is a read.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// Seed fixes which answers LoseAnswers loses.
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
