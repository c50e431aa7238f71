package usage

import "time"

// Settings configures metering. All hosts must use the same Window and Shards.
type Settings struct {
	// Window is the length of a usage window, in whole seconds.
	Window time.Duration
	// FlushInterval is the interval at which a host sends its usage to shard owners.
	FlushInterval time.Duration
	// WriteInterval is the interval at which a shard owner writes to the store.
	WriteInterval time.Duration
	// SealDelay is the delay between the end of a window and its sealing, which allows
	// late figures to arrive.
	SealDelay time.Duration
	// Shards is the number of shards that workspaces are distributed over.
	Shards int
	// PageBytes is the maximum size of a reported page in bytes.
	PageBytes int
	// MaxLines is the maximum number of lines that a host buffers per shard and per
	// recorder stripe.
	MaxLines int
	// CallTimeout is the timeout of one call to a peer or the report interface.
	CallTimeout time.Duration
}

// DefaultSettings returns the settings for windows of one minute.
func DefaultSettings() Settings {
	return Settings{
		Window:        time.Minute,
		FlushInterval: time.Second,
		WriteInterval: 500 * time.Millisecond,
		SealDelay:     10 * time.Second,
		Shards:        4,
		PageBytes:     900_000,
		MaxLines:      1 << 17,
		CallTimeout:   time.Second,
	}
}

// windowAt returns the window that contains t.
func (s Settings) windowAt(t time.Time) Window {
	seconds := int64(s.Window / time.Second)
	return Window(t.Unix() / seconds * seconds)
}

// due reports whether a window may be sealed at the given time.
func (s Settings) due(window Window, now time.Time) bool {
	return !now.Before(time.Unix(int64(window), 0).Add(s.Window + s.SealDelay))
}
