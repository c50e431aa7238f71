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

// stuck is an output that nobody reads until it is let go.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

// An output that nobody reads holds up no line; what is too much is dropped and
// said once the output is read again.
func TestAStuckOutputHoldsUpNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &stuck{release: make(chan struct{})}
		w := NewAsyncWriter(out)
		for range 3 * asyncLines {
			n, err := w.Write([]byte("{}\n"))
			is.NoErr(err)
			is.Equal(n, 3)
		}
		is.True(w.Dropped() >= 2*asyncLines-1)
		close(out.release)
		synctest.Wait()
		w.Close()
		is.True(strings.Contains(out.got.String(), `"msg":"log lines dropped"`))
		is.Equal(int64(strings.Count(out.got.String(), "{}\n"))+w.Dropped(), int64(3*asyncLines))
	})
}

// Closing a writer whose output is stuck ends.
func TestCloseDoesNotWaitForAStuckOutput(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		out := &stuck{release: make(chan struct{})}
		w := NewAsyncWriter(out)
		_, _ = w.Write([]byte("line\n"))
		w.Close()
		close(out.release)
	})
}

// In each second no more than the bound of bytes is written.
func TestBytesASecondAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		w := NewAsyncWriter(&out)
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
