package httpdrain_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/httpdrain"
	"github.com/acacialink/acacialink/internal/termination"
)

// lateConn returns what it has read in its second and later requests only once it is closed.
type lateConn struct {
	net.Conn
	hold   *atomic.Bool
	closed chan struct{}
	once   sync.Once
}

func (c *lateConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.hold.Load() {
		<-c.closed
		return n, nil
	}
	return n, err
}

func (c *lateConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

type lateListener struct {
	net.Listener
	hold atomic.Bool
}

func (l *lateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lateConn{Conn: c, hold: &l.hold, closed: make(chan struct{})}, nil
}

// Guards against a request that is read just before its idle connection is closed and then
// begun, although its response can no longer be sent.
func TestShutDownBeginsNoRequestOnClosedConnection(t *testing.T) {
	is := is.New(t)
	var began atomic.Int64
	state := termination.NewState()
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !state.MayBegin(time.Now(), termination.Work{}) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		began.Add(1)
	})}
	var tracker httpdrain.Tracker
	tracker.Track(server)
	inner, err := net.Listen("tcp4", "127.0.0.1:0") //nolint:noctx // loopback
	is.NoErr(err)
	l := &lateListener{Listener: inner}
	go func() { _ = server.Serve(l) }()
	c, err := net.Dial("tcp4", inner.Addr().String()) //nolint:noctx // loopback
	is.NoErr(err)
	defer c.Close()
	request := "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	_, err = io.WriteString(c, request)
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(began.Load(), int64(1))
	for tracker.Busy() {
		time.Sleep(time.Millisecond)
	}
	l.hold.Store(true)
	_, err = io.WriteString(c, request)
	is.NoErr(err)
	state.Begin(termination.NewPlan(time.Now(), time.Minute))
	is.NoErr(tracker.ShutDown(context.Background(), server, state))
	n, _ := io.Copy(io.Discard, c) // ends with the connection, by a close or a reset
	is.Equal(n, int64(0))
	is.Equal(began.Load(), int64(1))
}
