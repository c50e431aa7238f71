//go:build linux

package httpdrain_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/httpdrain"
	"github.com/acacialink/acacialink/internal/termination"
)

// longAnswer does not fit into the socket of a caller that reads late.
const longAnswer = 256 << 10

// longServer answers each request with longAnswer and asks for a close.
func longServer(t *testing.T) (*http.Server, *httpdrain.Tracker, net.Listener, *atomic.Int64) {
	t.Helper()
	answered := new(atomic.Int64)
	tracker := new(httpdrain.Tracker)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { //nolint:gosec // a test
		w.Header().Set("Connection", "close")
		_, _ = w.Write(make([]byte, longAnswer))
		answered.Add(1)
	})}
	tracker.Track(server)
	l, err := net.Listen("tcp4", "127.0.0.1:0") //nolint:noctx // loopback
	is.New(t).NoErr(err)
	go func() { _ = server.Serve(tracker.Listener(l)) }()
	return server, tracker, l, answered
}

// dialSmall connects with a small receive buffer.
func dialSmall(t *testing.T, address string) net.Conn {
	t.Helper()
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10)
		})
	}}
	c, err := dialer.DialContext(t.Context(), "tcp4", address)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// Guards against a process that ends while answers are still on their way to callers.
func TestShutDownEndsAfterAnswersAreDelivered(t *testing.T) {
	for name, extra := range map[string]string{"late reader": "", "late reader that has sent more": "GET /next"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server, tracker, l, answered := longServer(t)
			c := dialSmall(t, l.Addr().String())
			plan := termination.NewPlan(time.Now(), time.Minute)
			tracker.DeliverUntil(plan.Close)
			_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"+extra)
			is.NoErr(err)
			for answered.Load() == 0 {
				time.Sleep(time.Millisecond)
			}
			var reading atomic.Bool
			received := make(chan int64, 1)
			go func() {
				time.Sleep(500 * time.Millisecond)
				reading.Store(true)
				n, _ := io.Copy(io.Discard, c)
				received <- n
			}()
			cut, err := tracker.ShutDown(context.Background(), server, l, termination.NewState(), plan)
			is.NoErr(err)
			is.Equal(cut, 0)
			is.True(reading.Load())
			is.True(<-received > longAnswer)
		})
	}
}

// Guards against a stop that waits for a caller that reads nothing beyond its plan, and does not count it.
func TestShutDownCutsAnswersThatAreNotReceived(t *testing.T) {
	is := is.New(t)
	server, tracker, l, answered := longServer(t)
	c := dialSmall(t, l.Addr().String())
	plan := termination.NewPlan(time.Now(), time.Second)
	tracker.DeliverUntil(plan.Close)
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	for answered.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	cut, err := tracker.ShutDown(context.Background(), server, l, termination.NewState(), plan)
	is.NoErr(err)
	is.Equal(cut, 1)
	is.True(!time.Now().Before(plan.Close))
}

// Guards against an answer that was given up just before the stop counts and so is missing from its account.
func TestShutDownCountsAnswersThatWereGivenUpBefore(t *testing.T) {
	is := is.New(t)
	server, tracker, l, answered := longServer(t)
	c := dialSmall(t, l.Addr().String())
	plan := termination.NewPlan(time.Now(), time.Minute)
	tracker.DeliverUntil(time.Now().Add(200 * time.Millisecond))
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	for answered.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	cut, err := tracker.ShutDown(context.Background(), server, l, termination.NewState(), plan)
	is.NoErr(err)
	is.Equal(cut, 1)
}

// Guards against a stop that waits for callers that have closed their connection.
func TestShutDownDoesNotWaitForCallersThatLeft(t *testing.T) {
	is := is.New(t)
	server, tracker, l, answered := longServer(t)
	c := dialSmall(t, l.Addr().String())
	plan := termination.NewPlan(time.Now(), time.Minute)
	tracker.DeliverUntil(plan.Close)
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	for answered.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	is.NoErr(c.Close()) // with unread bytes: a reset
	cut, err := tracker.ShutDown(context.Background(), server, l, termination.NewState(), plan)
	is.NoErr(err)
	is.Equal(cut, 0)
	is.True(time.Now().Before(plan.End))
}
