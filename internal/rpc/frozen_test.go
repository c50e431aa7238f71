package rpc

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
)

// frozenPath forwards one connection until it is frozen; then it drops all
// bytes and keeps the connection open.
type frozenPath struct {
	address string
	frozen  atomic.Bool
}

func newFrozenPath(tb testing.TB, target string) *frozenPath {
	tb.Helper()
	listener, err := new(net.ListenConfig).Listen(tb.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	p := &frozenPath{address: listener.Addr().String()}
	tb.Cleanup(func() { _ = listener.Close() })
	go func() {
		near, err := listener.Accept()
		if err != nil {
			return
		}
		far, err := new(net.Dialer).DialContext(context.Background(), "tcp", target)
		if err != nil {
			return
		}
		go p.forward(far, near)
		p.forward(near, far)
	}()
	return p
}

func (p *frozenPath) freeze() { p.frozen.Store(true) }

func (p *frozenPath) forward(to io.WriteCloser, from io.Reader) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if p.frozen.Load() {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
