package rpc

import (
	"context"
	"sync"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcconn"

	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// Pool makes unary calls and keeps idle connections, a few for each address.
type Pool struct {
	dialer  *Dialer
	perAddr int

	mu     sync.Mutex
	idle   map[string][]*drpcconn.Conn
	closed bool
}

// NewPool returns a pool that keeps at most perAddr idle connections for each address.
func NewPool(dialer *Dialer, perAddr int) *Pool {
	return &Pool{dialer: dialer, perAddr: perAddr, idle: make(map[string][]*drpcconn.Conn)}
}

// Exchange calls another entry process.
func (p *Pool) Exchange(ctx context.Context, address string, m *wire.PeerMessage) (*wire.PeerMessage, error) {
	return unary(ctx, p, address, func(conn *drpcconn.Conn) (*wire.PeerMessage, error) {
		return wire.NewDRPCPeerClient(conn).Exchange(ctx, m)
	})
}

// Order gives an order to the agent at the address.
func (p *Pool) Order(ctx context.Context, address string, m *wire.OrderRequest) (*wire.OrderResponse, error) {
	return unary(ctx, p, address, func(conn *drpcconn.Conn) (*wire.OrderResponse, error) {
		return wire.NewDRPCAgentClient(conn).Order(ctx, m)
	})
}

// Describe asks the agent at the address for its state.
func (p *Pool) Describe(ctx context.Context, address string) (*wire.AgentState, error) {
	return unary(ctx, p, address, func(conn *drpcconn.Conn) (*wire.AgentState, error) {
		return wire.NewDRPCAgentClient(conn).Describe(ctx, &wire.DescribeRequest{})
	})
}

// Close closes the idle connections; calls that run keep theirs.
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
	var none T
	conn, err := p.get(ctx, address)
	if err != nil {
		return none, err
	}
	out, err := call(conn)
	if err != nil {
		_ = conn.Close()
		return none, errors.Wrapf(err, "call %s", address)
	}
	p.put(address, conn)
	return out, nil
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
	if p.closed || isClosed(conn) || len(p.idle[address]) >= p.perAddr {
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
