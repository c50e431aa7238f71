package outbound

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/sockopt"
)

const (
	// dialTimeout bounds the opening of a connection. A reachable endpoint
	// answers within milliseconds, and a lost packet is retransmitted only
	// after a second.
	dialTimeout = 400 * time.Millisecond
	// userTimeout bounds the time that sent bytes stay unacknowledged, to
	// detect dead connections.
	userTimeout = 800 * time.Millisecond
	// probeIdle, probeInterval and probeCount configure TCP keep-alive probes,
	// to detect connections that die while a response is awaited.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
	// maxIdleConns bounds the idle connections to one endpoint.
	maxIdleConns = 16
	// repeatableMaxIdle is the longest idle time after which a connection is
	// reused for a request that may be retried. nonRepeatableMaxIdle is that for
	// any other request. A connection may have been dropped without notice while
	// it was idle.
	repeatableMaxIdle    = 8 * time.Second
	nonRepeatableMaxIdle = time.Second
)

// ErrDial reports that no connection could be opened. Nothing was sent.
var ErrDial = errors.New("cannot connect to endpoint")

// ErrTooManyConnections reports that this process has reached its limit of connections
// to the endpoint. Nothing was sent.
var ErrTooManyConnections = errors.New("too many connections to the endpoint")

// Pool is a set of connections to endpoints, by address. It is safe for
// concurrent use.
type Pool struct {
	dialer net.Dialer

	// mu guards the fields below.
	mu sync.Mutex
	// idle holds the idle connections, the most recently used last.
	idle map[string][]*conn
	// open counts the connections, idle and in use.
	open map[string]int
	// dials counts the attempts to open a connection, for metrics.
	dials int64
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	p := &Pool{idle: make(map[string][]*conn), open: make(map[string]int)}
	p.dialer = net.Dialer{
		Timeout: dialTimeout,
		Control: sockopt.UserTimeout(userTimeout),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
		},
	}
	return p
}

// get returns a connection for the request: one to address that has been idle for
// at most maxIdle, or else a new one.
func (p *Pool) get(ctx context.Context, address string, maxIdle time.Duration, r *Request) (*conn, error) {
	if c := p.takeIdle(address, maxIdle, r.ID); c != nil {
		return c, nil
	}
	p.mu.Lock()
	if r.MaxConnections > 0 && p.open[address] >= r.MaxConnections {
		p.mu.Unlock()
		return nil, ErrTooManyConnections
	}
	p.open[address]++
	p.dials++
	p.mu.Unlock()
	netConn, err := p.dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		p.releaseSlot(address)
		return nil, errors.Wrap(ErrDial, err.Error())
	}
	return newConn(netConn), nil
}

// ErrRefused reports that no process listens at an address.
var ErrRefused = errors.New("connection refused")

// Probe opens a connection to an address and closes it. It returns ErrRefused if no
// process listens there.
func (p *Pool) Probe(ctx context.Context, address string) error {
	c, err := p.dialer.DialContext(ctx, "tcp4", address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return ErrRefused
	}
	if err != nil {
		return errors.Wrap(err, "probe")
	}
	return errors.Wrap(c.Close(), "probe")
}

// takeIdle removes a usable idle connection for the request ID from the pool. It
// returns nil if there is none, and closes unusable ones.
func (p *Pool) takeIdle(address string, maxIdle time.Duration, id string) *conn {
	now := time.Now()
	for {
		p.mu.Lock()
		list := p.idle[address]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		p.idle[address] = list[:len(list)-1]
		p.mu.Unlock()
		if (id == "" || c.lastID != id) && c.usable(now, maxIdle) {
			return c
		}
		p.closeConn(address, c)
	}
}

// HasIdle reports whether a connection to address is idle that a request would use now. A
// connection may still turn out to be closed.
func (p *Pool) HasIdle(address string, nonRepeatable bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return false
	}
	c := list[len(list)-1]
	return time.Since(c.idleSince) <= min(c.idleLimit, maxIdleFor(nonRepeatable))
}

// maxIdleFor returns the longest idle time after which a connection is reused for a request.
func maxIdleFor(nonRepeatable bool) time.Duration {
	if nonRepeatable {
		return nonRepeatableMaxIdle
	}
	return repeatableMaxIdle
}

// put returns a connection to the pool after its last response was read
// completely. It closes the connection if the pool has enough.
func (p *Pool) put(address string, c *conn) {
	c.idleSince, c.reused = time.Now(), true
	p.mu.Lock()
	if len(p.idle[address]) < maxIdleConns {
		p.idle[address] = append(p.idle[address], c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	p.closeConn(address, c)
}

// closeConn closes a connection that is not in p.idle.
func (p *Pool) closeConn(address string, c *conn) {
	c.Close()
	p.releaseSlot(address)
}

// releaseSlot subtracts a connection from the address's count of open ones.
func (p *Pool) releaseSlot(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[address]--; p.open[address] <= 0 {
		delete(p.open, address)
	}
}

// CloseIdle closes the idle connections to an address, after the endpoint was
// removed or a connection to it timed out.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		p.closeConn(address, c)
	}
}

// Dials returns the number of attempts to open a connection.
func (p *Pool) Dials() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// CloseExpired closes the connections that have been idle for too long to be reused.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	var expired []*conn
	var addresses []string
	for address, list := range p.idle {
		remaining := list[:0]
		for _, c := range list {
			if now.Sub(c.idleSince) > min(c.idleLimit, repeatableMaxIdle) {
				expired, addresses = append(expired, c), append(addresses, address)
				continue
			}
			remaining = append(remaining, c)
		}
		if len(remaining) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = remaining
	}
	p.mu.Unlock()
	for i, c := range expired {
		p.closeConn(addresses[i], c)
	}
}
