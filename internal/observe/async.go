package observe

import (
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// asyncLines bounds the lines that wait to be written.
	asyncLines = 1024
	// asyncBytesPerSecond bounds what is written; over it, lines are dropped
	// and counted. Standard output is shared with everything else on a host.
	asyncBytesPerSecond = 256 << 10
)

// AsyncWriter writes lines in the background, so that a reader who does not
// read never holds up a request. Lines beyond its bounds are dropped, and a
// line says how many. It is safe for concurrent use.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	closing sync.Once
	stop    chan struct{}

	mu     sync.Mutex
	second int64
	bytes  int
}

// NewAsyncWriter returns a writer to w; Close flushes it.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, asyncLines), done: make(chan struct{}), stop: make(chan struct{})}
	go a.run(w)
	return a
}

// Write implements io.Writer. It never blocks and never fails.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	if !a.within(len(line)) {
		a.dropped.Add(1)
		return len(line), nil
	}
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

func (a *AsyncWriter) within(n int) bool {
	now := time.Now().Unix()
	a.mu.Lock()
	defer a.mu.Unlock()
	if now != a.second {
		a.second, a.bytes = now, 0
	}
	a.bytes += n
	return a.bytes <= asyncBytesPerSecond
}

// Dropped counts the lines that were dropped.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

// asyncCloseWait bounds the flush of a writer that nobody reads.
const asyncCloseWait = 200 * time.Millisecond

// Close writes what waits, for a short time at most.
func (a *AsyncWriter) Close() {
	a.closing.Do(func() { close(a.stop) })
	timer := time.NewTimer(asyncCloseWait)
	defer timer.Stop()
	select {
	case <-a.done:
	case <-timer.C:
	}
}

func (a *AsyncWriter) run(w io.Writer) {
	defer close(a.done)
	told := int64(0)
	for {
		select {
		case line := <-a.lines:
			_, _ = w.Write(line) // there is nowhere to report a log that fails
		case <-a.stop:
			if len(a.lines) == 0 {
				return
			}
		}
		if d := a.dropped.Load(); d != told && len(a.lines) == 0 {
			told = d
			_, _ = io.WriteString(w, `{"level":"WARN","msg":"log lines dropped","dropped_total":`+strconv.FormatInt(d, 10)+"}\n")
		}
	}
}
