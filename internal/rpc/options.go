package rpc

import (
	"log/slog"
	"time"

	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"

	"github.com/acacialink/acacialink/internal/bodybudget"
)

// Options sets the timeouts and limits of connections and sessions. A field
// with the zero value takes its default.
type Options struct {
	// HeartbeatInterval is the interval of heartbeats on a session with open requests.
	HeartbeatInterval time.Duration
	// SilenceTimeout is the time without a received frame after which a session with
	// open requests is closed.
	SilenceTimeout time.Duration
	// IdleHeartbeatInterval and IdleSilenceTimeout replace HeartbeatInterval and
	// SilenceTimeout on a session without open requests. IdleHeartbeatInterval is
	// below SilenceTimeout because the two sides may register a request at
	// different times, for example while a long one is in transit.
	IdleHeartbeatInterval, IdleSilenceTimeout time.Duration
	// ReconnectMin is the initial delay before a link reconnects. ReconnectMax is
	// the longest delay.
	ReconnectMin, ReconnectMax time.Duration
	// DialTimeout bounds dialing and the TLS handshake together; a server
	// applies it to the handshake.
	DialTimeout time.Duration
	// MaxMessageBytes is the largest encoded message that is accepted, in bytes.
	MaxMessageBytes int
	// MaxStreams is the largest number of open requests of one session.
	MaxStreams int
	// MaxMailboxBytes bounds the tokens that are queued for one caller, in bytes.
	MaxMailboxBytes int
	// MaxOutboxBytes bounds the messages queued for sending on one session, in
	// bytes.
	MaxOutboxBytes int
	// MaxConns is the largest number of open connections of a server. Further
	// ones are closed before the handshake.
	MaxConns int
	// Log receives warnings; by default they are discarded.
	Log *slog.Logger
	// Answers bounds the bytes of answers that wait on a session, of which those of
	// Sender, the endpoint that answers, are a part. Nil means no bound.
	Answers *bodybudget.Shares
	Sender  string
}

// Defaults of Options.
const (
	DefaultHeartbeatInterval = 500 * time.Millisecond
	DefaultSilenceTimeout    = 2 * time.Second
	DefaultReconnectMin      = 50 * time.Millisecond
	DefaultReconnectMax      = 3 * time.Second
	DefaultDialTimeout       = time.Second
	DefaultMaxMessageBytes   = 16 << 20
	DefaultMaxStreams        = 4096
	DefaultMaxMailboxBytes   = 64 << 10
	DefaultMaxOutboxBytes    = 32 << 20
	DefaultMaxConns          = 4096
)

// idleSilenceFactor is the ratio of the default of IdleSilenceTimeout to SilenceTimeout.
const idleSilenceFactor = 2.5

// maxFrameBytes is the size beyond which no further queued message is added to
// a frame.
const maxFrameBytes = 256 << 10

func (o Options) withDefaults() Options {
	setDefault(&o.HeartbeatInterval, DefaultHeartbeatInterval)
	setDefault(&o.SilenceTimeout, DefaultSilenceTimeout)
	setDefault(&o.IdleHeartbeatInterval, max(o.HeartbeatInterval, o.SilenceTimeout-o.HeartbeatInterval))
	setDefault(&o.IdleSilenceTimeout, time.Duration(idleSilenceFactor*float64(o.SilenceTimeout)))
	setDefault(&o.ReconnectMin, DefaultReconnectMin)
	setDefault(&o.ReconnectMax, DefaultReconnectMax)
	setDefault(&o.DialTimeout, DefaultDialTimeout)
	setDefault(&o.MaxMessageBytes, DefaultMaxMessageBytes)
	setDefault(&o.MaxStreams, DefaultMaxStreams)
	setDefault(&o.MaxMailboxBytes, DefaultMaxMailboxBytes)
	setDefault(&o.MaxOutboxBytes, DefaultMaxOutboxBytes)
	setDefault(&o.MaxConns, DefaultMaxConns)
	setDefault(&o.Log, slog.New(slog.DiscardHandler))
	if o.Answers == nil {
		o.Answers = bodybudget.NewShares(0)
	}
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
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: o.MaxMessageBytes},
	}
}
