package usage

import "time"

// Settings bound the usage figures. All hosts must agree on Window and Shards.
type Settings struct {
	// Window is the length of one usage window, a whole number of seconds.
	Window time.Duration
	// Flush is how often a host hands out its figures.
	Flush time.Duration
	// Write is how often a keeper writes to the store.
	Write time.Duration
	// Settle is how long after its end a window waits for late figures.
	Settle time.Duration
	// Shards is the number of shards that workspaces are spread over.
	Shards int
	// PageBytes bounds one reported page.
	PageBytes int
	// Lines bounds the lines of a shard that a host holds back.
	Lines int
	// CallTimeout bounds one call of the store, a peer or the report interface.
	CallTimeout time.Duration
}

// DefaultSettings are the bounds for windows of a minute.
func DefaultSettings() Settings {
	return Settings{
		Window:      time.Minute,
		Flush:       time.Second,
		Write:       500 * time.Millisecond,
		Settle:      10 * time.Second,
		Shards:      4,
		PageBytes:   900_000,
		Lines:       1 << 17,
		CallTimeout: time.Second,
	}
}

// windowAt returns the window that a moment lies in.
func (s Settings) windowAt(t time.Time) Window {
	seconds := int64(s.Window / time.Second)
	return Window(t.Unix() / seconds * seconds)
}

// due says whether a window may be sealed.
func (s Settings) due(w Window, now time.Time) bool {
	return !now.Before(time.Unix(int64(w), 0).Add(s.Window + s.Settle))
}
