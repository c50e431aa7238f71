package rpc

import (
	"time"

	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"
)

// Options bounds connections and sessions. The zero value of a field takes
// the default.
type Options struct {
	// Heartbeat is the interval of heartbeats on a session.
	Heartbeat time.Duration
	// Silence is how long a session may receive nothing before it is closed.
	Silence time.Duration
	// ReconnectMin is the first wait before a link connects again,
	// ReconnectMax the longest.
	ReconnectMin, ReconnectMax time.Duration
	// DialTimeout bounds the connection and the TLS handshake.
	DialTimeout time.Duration
	// MessageBytes is the largest encoded message that is accepted.
	MessageBytes int
	// MaxStreams bounds the open requests of one session.
	MaxStreams int
	// MailboxBytes bounds the tokens that wait for one slow caller.
	MailboxBytes int
	// OutboxBytes bounds what waits to be sent on one session.
	OutboxBytes int
	// MaxConns bounds a server's open connections; those beyond it are closed
	// before the handshake.
	MaxConns int
}

// The defaults of Options.
const (
	DefaultHeartbeat    = 500 * time.Millisecond
	DefaultSilence      = 2 * time.Second
	DefaultReconnectMin = 50 * time.Millisecond
	DefaultReconnectMax = 3 * time.Second
	DefaultDialTimeout  = time.Second
	DefaultMessageBytes = 16 << 20
	DefaultMaxStreams   = 4096
	DefaultMailboxBytes = 64 << 10
	DefaultOutboxBytes  = 32 << 20
	DefaultMaxConns     = 4096
)

// frameBytes is the size at which a frame is sent although more waits.
const frameBytes = 256 << 10

func (o Options) withDefaults() Options {
	setDefault(&o.Heartbeat, DefaultHeartbeat)
	setDefault(&o.Silence, DefaultSilence)
	setDefault(&o.ReconnectMin, DefaultReconnectMin)
	setDefault(&o.ReconnectMax, DefaultReconnectMax)
	setDefault(&o.DialTimeout, DefaultDialTimeout)
	setDefault(&o.MessageBytes, DefaultMessageBytes)
	setDefault(&o.MaxStreams, DefaultMaxStreams)
	setDefault(&o.MailboxBytes, DefaultMailboxBytes)
	setDefault(&o.OutboxBytes, DefaultOutboxBytes)
	setDefault(&o.MaxConns, DefaultMaxConns)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (o Options) drpc() drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: o.MessageBytes},
	}
}
