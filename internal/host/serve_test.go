package host

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/httpdrain"
	"github.com/acacialink/acacialink/internal/termination"
)

// A request that has just been accepted when the drain ends gets its response: both one
// that is in progress and one whose header is still arriving.
func TestShutdownAnswersAcceptedRequests(t *testing.T) {
	is := is.New(t)
	h := newEndpointHost()
	h.opts.Log = slog.New(slog.DiscardHandler)
	started := make(chan struct{}, 2)
	server := h.newServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		started <- struct{}{}
		time.Sleep(50 * time.Millisecond)
		_, _ = io.WriteString(w, "answer")
	}))
	var open httpdrain.Tracker
	open.Track(server)
	l, err := net.Listen("tcp4", "127.0.0.1:0") //nolint:noctx // loopback
	is.NoErr(err)
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	send := func(parts ...string) chan string {
		c, err := net.Dial("tcp4", l.Addr().String()) //nolint:noctx // loopback
		is.NoErr(err)
		_, err = io.WriteString(c, parts[0])
		is.NoErr(err)
		body := make(chan string, 1)
		go func() {
			defer c.Close()
			for _, part := range parts[1:] {
				time.Sleep(50 * time.Millisecond)
				_, _ = io.WriteString(c, part)
			}
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				body <- err.Error()
				return
			}
			defer response.Body.Close()
			text, _ := io.ReadAll(response.Body)
			body <- string(text)
		}()
		return body
	}
	inProgress := send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	<-started
	arriving := send("GET / HTTP/1.1\r\n", "Host: h\r\n\r\n")
	time.Sleep(10 * time.Millisecond) // the server has read the first line
	plan := termination.NewPlan(time.Now(), h.opts.Settings.GracePeriod)
	h.termination.Begin(plan)
	is.NoErr(h.shutDown(server, l, &open, plan))
	is.Equal(<-inProgress, "answer")
	is.Equal(<-arriving, "answer")
	is.True(<-served != nil)
}
