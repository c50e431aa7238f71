package rpc

import (
	"context"
	"sync"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcconn"

	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// Pool makes unary calls over reused connections. It is safe for concurrent
// use.
type Pool struct {
	dialer            *Dialer
	maxIdlePerAddress int

	mu     sync.Mutex
	idle   map[string][]*drpcconn.Conn
	closed bool
}

// NewPool returns a pool that keeps at most maxIdlePerAddress idle connections
// to each address.
func NewPool(dialer *Dialer, maxIdlePerAddress int) *Pool {
	return &Pool{dialer: dialer, maxIdlePerAddress: maxIdlePerAddress, idle: make(map[string][]*drpcconn.Conn)}
}

// Exchange sends m to the entry process at address and returns its answer.
func (p *Pool) Exchange(ctx context.Context, address string, m *wire.PeerMessage) (*wire.PeerMessage, error) {
	return unary(ctx, p, address, func(conn *drpcconn.Conn) (*wire.PeerMessage, error) {
		return wire.NewDRPCPeerClient(conn).Exchange(ctx, m)
	})
}

// Order sends an order to the agent at address and returns its result.
func (p *Pool) Order(ctx context.Context, address string, m *wire.OrderRequest) (*wire.OrderResponse, error) {
	return unary(ctx, p, address, func(conn *drpcconn.Conn) (*wire.OrderResponse, error) {
		return wire.NewDRPCAgentClient(conn).Order(ctx, m)
	})
}

// Describe returns the state of the agent at address.
func (p *Pool) Describe(ctx context.Context, address string) (*wire.AgentState, error) {
	return unary(ctx, p, address, func(conn *drpcconn.Conn) (*wire.AgentState, error) {
		return wire.NewDRPCAgentClient(conn).Describe(ctx, &wire.DescribeRequest{})
	})
}

// Close closes the idle connections. Calls in progress continue; their
// connections are closed when they end.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, conns := range p.idle {
		for _, conn := range conns {
			_ = conn.Close()
		}
	}
	p.idle = nil
}

func unary[T any](ctx context.Context, p *Pool, address string, call func(*drpcconn.Conn) (T, error)) (T, error) {
	var zero T
	conn, err := p.get(ctx, address)
	if err != nil {
		return zero, err
	}
	response, err := call(conn)
	if err != nil {
		_ = conn.Close()
		return zero, errors.Wrapf(err, "call %s", address)
	}
	p.put(address, conn)
	return response, nil
}

func (p *Pool) get(ctx context.Context, address string) (*drpcconn.Conn, error) {
	if conn := p.popIdle(address); conn != nil {
		return conn, nil
	}
	return p.dialer.Dial(ctx, address)
}

func (p *Pool) popIdle(address string) *drpcconn.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conns := p.idle[address]; len(conns) > 0; conns = p.idle[address] {
		conn := conns[len(conns)-1]
		p.idle[address] = conns[:len(conns)-1]
		if !isClosed(conn) {
			return conn
		}
	}
	delete(p.idle, address)
	return nil
}

func (p *Pool) put(address string, conn *drpcconn.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || isClosed(conn) || len(p.idle[address]) >= p.maxIdlePerAddress {
		_ = conn.Close()
		return
	}
	p.idle[address] = append(p.idle[address], conn)
}

func isClosed(conn *drpcconn.Conn) bool {
	select {
	case <-conn.Closed():
		return true
	default:
		return false
	}
}
