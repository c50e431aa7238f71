package usage

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// stripeCount is the number of independently locked parts of a recorder.
const stripeCount = 16

// Recorder counts usage on the request path. It is safe for concurrent use.
type Recorder struct {
	settings Settings
	stripes  [stripeCount]stripe
	// dropped counts the additions and batch entries that were discarded.
	dropped atomic.Int64
}

// stripe counts the usage of the workspaces that hash to it.
type stripe struct {
	mu    sync.Mutex
	lines map[windowLine]Figures
}

// windowLine identifies a line in one window.
type windowLine struct {
	Window Window
	Line
}

// NewRecorder returns an empty recorder.
func NewRecorder(s Settings) *Recorder {
	r := &Recorder{settings: s}
	for i := range r.stripes {
		r.stripes[i].lines = make(map[windowLine]Figures)
	}
	return r
}

// Add adds usage to the current window of a workspace. Calls without a workspace
// cannot be attributed and are not counted.
func (r *Recorder) Add(workspace, model string, prompt, output, cached, calls int64) {
	if workspace == "" {
		return
	}
	key := windowLine{r.settings.windowAt(time.Now()), Line{workspace, model}}
	s := &r.stripes[xxhash.Sum64String(workspace)%stripeCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	old, known := s.lines[key]
	if !known && len(s.lines) >= r.settings.MaxLines {
		r.dropped.Add(1)
		return
	}
	s.lines[key] = old.Plus(Figures{PromptTokens: prompt, OutputTokens: output, CachedTokens: cached, Calls: calls})
}

// Dropped returns the number of additions and batch entries whose usage was discarded
// and may not be reported.
func (r *Recorder) Dropped() int64 { return r.dropped.Load() }

// drain returns and resets what was counted since the last call.
func (r *Recorder) drain() map[windowLine]Figures {
	all := make(map[windowLine]Figures)
	for i := range r.stripes {
		s := &r.stripes[i]
		s.mu.Lock()
		lines := s.lines
		s.lines = make(map[windowLine]Figures, len(lines))
		s.mu.Unlock()
		for key, figures := range lines {
			all[key] = figures
		}
	}
	return all
}

// shardOf returns the shard of a workspace.
func shardOf(workspace string, shards int) int {
	return int(xxhash.Sum64String(workspace) % uint64(shards))
}
