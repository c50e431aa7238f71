package usage

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// stripes is the number of locks of a recorder.
const stripes = 16

// Recorder counts on the request path. It is safe for concurrent use.
type Recorder struct {
	settings Settings
	stripes  [stripes]stripe
	// dropped counts additions beyond the bound on lines.
	dropped atomic.Int64
}

type stripe struct {
	mu    sync.Mutex
	lines map[windowLine]Figures
}

// windowLine is a line in one window.
type windowLine struct {
	Window Window
	Line
}

// NewRecorder returns a recorder that has counted nothing.
func NewRecorder(s Settings) *Recorder {
	r := &Recorder{settings: s}
	for i := range r.stripes {
		r.stripes[i].lines = make(map[windowLine]Figures)
	}
	return r
}

// Add counts one use by a workspace at this moment. Calls without a workspace
// belong to nobody and are not counted.
func (r *Recorder) Add(workspace, model string, prompt, output, cached, calls int64) {
	if workspace == "" {
		return
	}
	key := windowLine{r.settings.windowAt(time.Now()), Line{workspace, model}}
	s := &r.stripes[xxhash.Sum64String(workspace)%stripes]
	s.mu.Lock()
	defer s.mu.Unlock()
	old, known := s.lines[key]
	if !known && len(s.lines) >= r.settings.Lines {
		r.dropped.Add(1)
		return
	}
	s.lines[key] = old.Plus(Figures{PromptTokens: prompt, OutputTokens: output, CachedTokens: cached, Calls: calls})
}

// Dropped counts additions that were lost to the bound on lines.
func (r *Recorder) Dropped() int64 { return r.dropped.Load() }

// take returns what was counted since the last call.
func (r *Recorder) take() map[windowLine]Figures {
	all := make(map[windowLine]Figures)
	for i := range r.stripes {
		s := &r.stripes[i]
		s.mu.Lock()
		lines := s.lines
		s.lines = make(map[windowLine]Figures, len(lines))
		s.mu.Unlock()
		for key, f := range lines {
			all[key] = f
		}
	}
	return all
}

// shardOf is the shard of a workspace.
func shardOf(workspace string, shards int) int {
	return int(xxhash.Sum64String(workspace) % uint64(shards))
}
