package entry_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/agent"
	"github.com/acacialink/acacialink/internal/backing"
)

// mortalEngine is an engine whose process ends when it begins to answer a prompt that
// contains the word deadly.
type mortalEngine struct {
	*httptest.Server
	ended atomic.Bool
	once  sync.Once
}

func startMortalEngine(t *testing.T) *mortalEngine {
	t.Helper()
	e := &mortalEngine{}
	handler := newEngine(time.Millisecond).Handler()
	e.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/generate" {
			handler.ServeHTTP(w, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if strings.Contains(string(body), "deadly") {
			_, _ = io.WriteString(w, `{"token":{"Index":0,"Text":"a"}}`+"\n")
			_ = http.NewResponseController(w).Flush()
			e.once.Do(func() {
				e.ended.Store(true)
				_ = e.Listener.Close()
				go e.CloseClientConnections()
			})
			panic(http.ErrAbortHandler)
		}
		r.Body = io.NopCloser(strings.NewReader(string(body)))
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(e.Close)
	return e
}

func TestDeadlyPromptEndsOneEngineOfEachRequestAndIsHeldBack(t *testing.T) {
	is := is.New(t)
	engines := make(map[string]*mortalEngine)
	agents := make(map[string]agent.Options)
	for n := range 8 {
		name := fmt.Sprintf("engine-%d", n)
		engines[name] = startMortalEngine(t)
		agents[name] = agent.Options{Engine: backing.NewHTTPEngine(engines[name].URL, nil)}
	}
	host := newTestHost(t, agents)
	ended := func() int {
		n := 0
		for _, e := range engines {
			if e.ended.Load() {
				n++
			}
		}
		return n
	}
	shared := strings.Repeat("All floats are made of paper. ", 200) // more than a block
	deadly := strings.Repeat("This part is deadly. ", 200)
	sound := func(n int) callerResponse {
		return host.post(t, "/v1/chat/completions", testKey, chatBody(fmt.Sprint(shared, n), 5, true))
	}
	is.Equal(sound(0).status, http.StatusOK)
	last := callerResponse{}
	for n := range 6 {
		last = host.post(t, "/v1/chat/completions", testKey, chatBody(fmt.Sprint(shared, deadly, strings.Repeat("Own text. ", 500), n), 5, true))
		is.True(ended() <= min(n+1, 3))
		time.Sleep(60 * time.Millisecond) // crashes at one moment count as one
	}
	is.Equal(last.status, http.StatusServiceUnavailable)
	is.True(strings.Contains(string(last.body), "segment_held"))
	is.Equal(ended(), 3)
	is.Equal(sound(1).status, http.StatusOK)
}
