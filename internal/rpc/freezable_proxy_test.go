package rpc

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
)

// freezableProxy is a TCP proxy for one connection. Once frozen it drops all
// bytes and keeps both connections open.
type freezableProxy struct {
	address string
	frozen  atomic.Bool
}

func newFreezableProxy(tb testing.TB, target string) *freezableProxy {
	tb.Helper()
	listener, err := new(net.ListenConfig).Listen(tb.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	p := &freezableProxy{address: listener.Addr().String()}
	tb.Cleanup(func() { _ = listener.Close() })
	go func() {
		clientConn, err := listener.Accept()
		if err != nil {
			return
		}
		serverConn, err := new(net.Dialer).DialContext(context.Background(), "tcp", target)
		if err != nil {
			return
		}
		go p.forward(serverConn, clientConn)
		p.forward(clientConn, serverConn)
	}()
	return p
}

func (p *freezableProxy) freeze() { p.frozen.Store(true) }

func (p *freezableProxy) forward(dst io.WriteCloser, src io.Reader) {
	defer func() { _ = dst.Close() }()
	buffer := make([]byte, 4096)
	for {
		n, err := src.Read(buffer)
		if err != nil {
			return
		}
		if p.frozen.Load() {
			continue
		}
		if _, err := dst.Write(buffer[:n]); err != nil {
			return
		}
	}
}
