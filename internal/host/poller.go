package host

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/outage"
)

const (
	// storeWatchers is the number of hosts that watch the store on behalf of all
	// hosts: they watch and poll it, and send updates to the others. There are two,
	// so that one may fail.
	storeWatchers = 2
	// watcherPollShare is the age of a confirmation at which the first store
	// watcher reads a source again, as a share of the time within which a change
	// must be in force. otherPollShare is the same for hosts that are not store
	// watchers. The share of the second store watcher lies between, so that each
	// host reads only what the hosts before it have not confirmed.
	watcherPollShare, otherPollShare = 0.45, 0.65
	// minPollInterval limits the rate of reads in deployments with short bounds.
	minPollInterval = 500 * time.Millisecond
	// readTimeout bounds one read.
	readTimeout = time.Second
	// readRetryDelay is the pause after a read of a key that is not written yet.
	readRetryDelay = 300 * time.Millisecond
	// readPause is the pause after a successful read.
	readPause = 100 * time.Millisecond
	// retryCheckInterval is how often a host checks whether a failed read is due again.
	retryCheckInterval = 50 * time.Millisecond
	// roleCheckInterval is how often a host checks whether it is a store watcher.
	roleCheckInterval = 200 * time.Millisecond
)

// errNotWritten means that the key to read does not exist yet.
var errNotWritten = errors.New("key not written yet")

// poller keeps the cached state of one source in the store confirmed. It reads the
// source when neither this host nor a peer has confirmed it recently.
type poller struct {
	// name is the dependency's name in logs.
	name string
	// bound is the time within which a change of the source must be in force.
	bound time.Duration
	// age returns the time since the source was confirmed; false means never.
	age func() (time.Duration, bool)
	// read reads the source and applies what it finds.
	read func(ctx context.Context) error
	// failed is called after each failed read.
	failed func()
	// trigger has a buffer of one; a value in it requests an immediate read.
	trigger chan struct{}
	// mustRead reports whether the source must be read after a failed read even if a peer has
	// confirmed it meanwhile.
	mustRead bool
	// role returns what this host knows of the others' calls to the store.
	role func() outage.Role
	// failing reports whether the last read failed.
	failing atomic.Bool
	// retry decides when it is read again. Only run uses it.
	retry outage.Retry
}

func newPoller(name string, bound time.Duration, age func() (time.Duration, bool), read func(context.Context) error, failed func(), mustRead bool, role func() outage.Role) *poller {
	return &poller{name: name, bound: bound, age: age, read: read, failed: failed, mustRead: mustRead, role: role, trigger: make(chan struct{}, 1)}
}

// Trigger triggers an immediate read. It does not block.
func (p *poller) Trigger() {
	select {
	case p.trigger <- struct{}{}:
	default: // a read is already pending
	}
}

// run polls the source until ctx is done. watchersBefore returns the number of store
// watchers that precede this host.
func (p *poller) run(ctx context.Context, watchersBefore func() int, log *slog.Logger) {
	source := &dependency{name: p.name, log: log}
	for ctx.Err() == nil {
		if !p.isDue(ctx, watchersBefore) {
			continue
		}
		err := p.read(ctx)
		if ctx.Err() != nil {
			return
		}
		// Triggers during the read concern what it has found, or come again.
		select {
		case <-p.trigger:
		default:
		}
		pause := readPause
		switch {
		case errors.Is(err, errNotWritten):
			err, pause = nil, readRetryDelay
		case err != nil:
			p.failed()
			p.retry.Failed(time.Now(), p.role(), rand.Float64()) //nolint:gosec // not a secret
			pause = 0
		default:
			p.retry.Succeeded()
		}
		p.failing.Store(err != nil)
		source.record(err)
		backing.Pause(ctx, pause)
	}
}

// isDue waits until a read is due, for a short time, and reports whether it is. After a failed
// read it is when the others and the time say so, unless a peer has confirmed the source.
func (p *poller) isDue(ctx context.Context, watchersBefore func() int) bool {
	if !p.failing.Load() {
		return p.waitUntilDue(ctx, watchersBefore())
	}
	if age, known := p.age(); !p.mustRead && known && time.Now().Add(-age).After(p.retry.FailedAt()) {
		p.failing.Store(false)
		p.retry.Succeeded()
		return false
	}
	wait := p.retry.Wait(time.Now(), p.role())
	if wait > 0 {
		backing.Pause(ctx, min(wait, retryCheckInterval))
	}
	return wait <= 0
}

// waitUntilDue waits until a read is due and reports whether it is. It returns
// false after at most roleCheckInterval, so that the caller can check the host's role.
func (p *poller) waitUntilDue(ctx context.Context, watchersBefore int) bool {
	age, known := p.age()
	remaining := p.readInterval(watchersBefore) - age
	if !known || remaining <= 0 {
		return true
	}
	timer := time.NewTimer(min(remaining, roleCheckInterval))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-p.trigger:
		return true
	case <-timer.C:
	}
	return false
}

// readInterval returns the age of a confirmation at which this host reads the
// source, given the number of store watchers that precede it.
func (p *poller) readInterval(watchersBefore int) time.Duration {
	share := watcherPollShare + (otherPollShare-watcherPollShare)*float64(min(watchersBefore, storeWatchers))/storeWatchers
	return max(minPollInterval, time.Duration(share*float64(p.bound)))
}
