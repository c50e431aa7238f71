package observe

import (
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

// MessageLinesDropped is the message of the line that reports dropped lines.
// FieldDropped is its field with their number since the last such line.
const (
	MessageLinesDropped = "log lines dropped"
	FieldDropped        = "dropped"
)

const (
	// asyncQueueLines is the maximum number of queued lines.
	asyncQueueLines = 1024
	// asyncBytesPerSecond limits the output rate, because standard output is
	// shared with everything else on a host. Lines over it are dropped and
	// counted.
	asyncBytesPerSecond = 256 << 10
)

// AsyncWriter writes lines in the background, so that a blocked output never
// delays a request. Lines over its limits are dropped, and a log line reports the
// total number dropped. It is safe for concurrent use.
type AsyncWriter struct {
	lines     chan []byte
	dropped   atomic.Int64
	done      chan struct{}
	closeOnce sync.Once
	stop      chan struct{}

	mu           sync.Mutex // guards the fields below
	windowSecond int64
	windowBytes  int
}

// NewAsyncWriter returns an AsyncWriter to w and starts its goroutine, which logs
// dropped lines under the identity. Close flushes the queue.
func NewAsyncWriter(w io.Writer, id Identity) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, asyncQueueLines), done: make(chan struct{}), stop: make(chan struct{})}
	go a.run(w, NewLogger(w, slog.LevelInfo, id))
	return a
}

// Write implements io.Writer. It never blocks on the output and never returns an
// error.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	if !a.withinByteRate(len(line)) {
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

func (a *AsyncWriter) withinByteRate(n int) bool {
	now := time.Now().Unix()
	a.mu.Lock()
	defer a.mu.Unlock()
	if now != a.windowSecond {
		a.windowSecond, a.windowBytes = now, 0
	}
	a.windowBytes += n
	return a.windowBytes <= asyncBytesPerSecond
}

// Dropped returns the number of dropped lines.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

// asyncCloseTimeout limits the flush to an output that blocks.
const asyncCloseTimeout = 200 * time.Millisecond

// Close flushes the queued lines, for at most asyncCloseTimeout.
func (a *AsyncWriter) Close() {
	a.closeOnce.Do(func() { close(a.stop) })
	timer := time.NewTimer(asyncCloseTimeout)
	defer timer.Stop()
	select {
	case <-a.done:
	case <-timer.C:
	}
}

func (a *AsyncWriter) run(w io.Writer, log *slog.Logger) {
	defer close(a.done)
	reportedDrops := int64(0)
	for {
		select {
		case line := <-a.lines:
			_, _ = w.Write(line) // a failure to write the log cannot be reported anywhere
		case <-a.stop:
			if len(a.lines) == 0 {
				return
			}
		}
		if dropped := a.dropped.Load(); dropped != reportedDrops && len(a.lines) == 0 {
			log.Warn(MessageLinesDropped, FieldDropped, dropped-reportedDrops, "dropped_total", dropped)
			reportedDrops = dropped
		}
	}
}
