package rpc

import (
	"time"

	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"
)

// Options sets the timeouts and limits of connections and sessions. A field
// with the zero value takes its default.
type Options struct {
	// Heartbeat is the interval of heartbeats on a session with open requests.
	Heartbeat time.Duration
	// Silence is the time without a received frame after which a session with
	// open requests is closed.
	Silence time.Duration
	// IdleHeartbeat and IdleSilence replace Heartbeat and Silence on a session
	// without open requests. IdleHeartbeat is below Silence because the two
	// sides may register a request at different times, for example while a
	// long one is in transit.
	IdleHeartbeat, IdleSilence time.Duration
	// ReconnectMin and ReconnectMax are the initial and the longest delay
	// before a link reconnects.
	ReconnectMin, ReconnectMax time.Duration
	// DialTimeout bounds dialing and the TLS handshake together; a server
	// applies it to the handshake.
	DialTimeout time.Duration
	// MessageBytes is the largest encoded message that is accepted, in bytes.
	MessageBytes int
	// MaxStreams is the largest number of open requests of one session.
	MaxStreams int
	// MailboxBytes bounds the tokens that are queued for one caller, in bytes.
	MailboxBytes int
	// OutboxBytes bounds the messages queued for sending on one session, in
	// bytes.
	OutboxBytes int
	// MaxConns is the largest number of open connections of a server. Further
	// ones are closed before the handshake.
	MaxConns int
}

// Defaults of Options.
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

// idleSilenceFactor is the ratio of the default of IdleSilence to Silence.
const idleSilenceFactor = 2.5

// maxFrameBytes is the size beyond which no further queued message is added to
// a frame.
const maxFrameBytes = 256 << 10

func (o Options) withDefaults() Options {
	setDefault(&o.Heartbeat, DefaultHeartbeat)
	setDefault(&o.Silence, DefaultSilence)
	setDefault(&o.IdleHeartbeat, max(o.Heartbeat, o.Silence-o.Heartbeat))
	setDefault(&o.IdleSilence, time.Duration(idleSilenceFactor*float64(o.Silence)))
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

func (o Options) managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: o.MessageBytes},
	}
}
