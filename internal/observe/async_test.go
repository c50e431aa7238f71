package observe

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// blockedWriter is an output that blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(p)
}

// Write must not block while the output does. Lines that exceed the queue are
// dropped, and the drops are reported once the output accepts lines again.
func TestAsyncWriterDropsLinesWhileOutputBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &blockedWriter{release: make(chan struct{})}
		w := NewAsyncWriter(out, Identity{})
		for range 3 * asyncQueueLines {
			n, err := w.Write([]byte("{}\n"))
			is.NoErr(err)
			is.Equal(n, 3)
		}
		is.True(w.Dropped() >= 2*asyncQueueLines-1)
		close(out.release)
		synctest.Wait()
		w.Close()
		is.True(strings.Contains(out.written.String(), `"msg":"log lines dropped"`))
		is.Equal(int64(strings.Count(out.written.String(), "{}\n"))+w.Dropped(), int64(3*asyncQueueLines))
	})
}

// Close must return even if the output never accepts the queued lines.
func TestAsyncWriterCloseReturnsWhileOutputBlocks(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		out := &blockedWriter{release: make(chan struct{})}
		w := NewAsyncWriter(out, Identity{})
		_, _ = w.Write([]byte("line\n"))
		w.Close()
		close(out.release)
	})
}

// At most asyncBytesPerSecond bytes are written per second; the next second
// accepts lines again.
func TestAsyncWriterLimitsBytesPerSecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		w := NewAsyncWriter(&out, Identity{})
		line := []byte(strings.Repeat("x", 1023) + "\n")
		for range 2 * asyncBytesPerSecond / len(line) {
			_, _ = w.Write(line)
			synctest.Wait()
		}
		is.Equal(w.Dropped(), int64(asyncBytesPerSecond/len(line)))
		time.Sleep(time.Second)
		before := w.Dropped()
		_, _ = w.Write(line)
		synctest.Wait()
		is.Equal(w.Dropped(), before)
		w.Close()
	})
}
