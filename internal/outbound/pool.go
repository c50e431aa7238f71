package outbound

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/sockopt"
)

const (
	// dialTimeout bounds the opening of a connection; a packet that was
	// dropped is sent again after a second, and an endpoint in reach answers
	// within milliseconds.
	dialTimeout = 400 * time.Millisecond
	// userTimeout bounds unacknowledged bytes: it finds connections that went
	// silent.
	userTimeout = 800 * time.Millisecond
	// probeIdle, probeInterval and probeCount find connections that went silent
	// while an answer is awaited.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
	// maxIdle bounds the idle connections kept to one endpoint.
	maxIdle = 16
	// repeatableIdle and onceIdle are the longest idle times after which a
	// kept connection is used for requests that may and that may not be
	// repeated: a connection may have been dropped without notice.
	repeatableIdle = 8 * time.Second
	onceIdle       = time.Second
)

// ErrDial means that no connection could be opened: nothing was sent.
var ErrDial = errors.New("endpoint cannot be connected to")

// ErrConnections means that the endpoint has as many connections of this
// process as it may: nothing was sent.
var ErrConnections = errors.New("too many connections to the endpoint")

// Pool keeps connections to endpoints by address. It is safe for concurrent use.
type Pool struct {
	dialer net.Dialer

	mu   sync.Mutex
	idle map[string][]*conn
	open map[string]int
	// dials counts new connections, for metrics.
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

// get returns a connection to address: a kept one unless fresh, else a new one.
// limit bounds the connections to the address, 0 is no bound.
func (p *Pool) get(ctx context.Context, address string, longestIdle time.Duration, limit int) (*conn, error) {
	if c := p.kept(address, longestIdle); c != nil {
		return c, nil
	}
	p.mu.Lock()
	if limit > 0 && p.open[address] >= limit {
		p.mu.Unlock()
		return nil, ErrConnections
	}
	p.open[address]++
	p.dials++
	p.mu.Unlock()
	nc, err := p.dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		p.forget(address)
		return nil, errors.Wrap(ErrDial, err.Error())
	}
	return newConn(nc), nil
}

func (p *Pool) kept(address string, longestIdle time.Duration) *conn {
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
		if c.usable(now, longestIdle) {
			return c
		}
		p.discard(address, c)
	}
}

// put keeps a connection whose last answer was read whole.
func (p *Pool) put(address string, c *conn) {
	c.idleSince, c.used = time.Now(), true
	p.mu.Lock()
	if len(p.idle[address]) < maxIdle {
		p.idle[address] = append(p.idle[address], c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	p.discard(address, c)
}

func (p *Pool) discard(address string, c *conn) {
	c.Close()
	p.forget(address)
}

func (p *Pool) forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[address]--; p.open[address] <= 0 {
		delete(p.open, address)
	}
}

// Drop closes the idle connections to an address, after the endpoint left or a
// connection to it went silent.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		p.discard(address, c)
	}
}

// Dials counts the connections that were opened.
func (p *Pool) Dials() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// Sweep closes idle connections that are too old to be used.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	var old []*conn
	var addresses []string
	for address, list := range p.idle {
		keep := list[:0]
		for _, c := range list {
			if now.Sub(c.idleSince) > min(c.idleLimit, repeatableIdle) {
				old, addresses = append(old, c), append(addresses, address)
				continue
			}
			keep = append(keep, c)
		}
		if len(keep) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = keep
	}
	p.mu.Unlock()
	for i, c := range old {
		p.discard(addresses[i], c)
	}
}
