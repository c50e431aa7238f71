package host

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
)

const (
	// followers is the number of hosts that follow the store for all: they watch
	// it and read it often, and tell the others. One may be lost.
	followers = 2
	// followShare is the part of the time in which a change must be in force
	// after which the first follower reads its source again, pollShare the same
	// for hosts that do not follow. The others lie between, so that each reads
	// only what those before it have not confirmed.
	followShare, pollShare = 0.45, 0.65
	// minPoll bounds the reads of deployments with short bounds.
	minPoll = 500 * time.Millisecond
	// readTimeout bounds one read, readRetry is the pause after a failed one,
	// readSpacing the least time between two.
	readTimeout = time.Second
	readRetry   = 300 * time.Millisecond
	readSpacing = 100 * time.Millisecond
	// roleLook is how often a host looks whether it follows the store.
	roleLook = 200 * time.Millisecond
)

// errNothingYet means that what is read has not been written yet.
var errNothingYet = errors.New("nothing written yet")

// poller keeps one source in the store confirmed: it reads it whenever neither
// it nor a peer has read it for too long.
type poller struct {
	// name is the dependency's name in logs, bound the time in which a change of
	// the source must be in force.
	name  string
	bound time.Duration
	// age is the time since the source was confirmed, read reads it, failed is
	// called when it cannot be read.
	age    func() (time.Duration, bool)
	read   func(ctx context.Context) error
	failed func()
	// urge asks for a read at once.
	urge chan struct{}
	// lost says that the last read failed.
	lost atomic.Bool
}

func newPoller(name string, bound time.Duration, age func() (time.Duration, bool), read func(context.Context) error, failed func()) *poller {
	return &poller{name: name, bound: bound, age: age, read: read, failed: failed, urge: make(chan struct{}, 1)}
}

// Urge asks for a read at once.
func (r *poller) Urge() {
	select {
	case r.urge <- struct{}{}:
	default: // asked for already
	}
}

// run reads until ctx ends; before is the number of followers before this host.
func (r *poller) run(ctx context.Context, before func() int, log *slog.Logger) {
	seen := &reach{name: r.name, log: log}
	for ctx.Err() == nil {
		if !r.lost.Load() && !r.wait(ctx, before()) {
			continue
		}
		err := r.read(ctx)
		if ctx.Err() != nil {
			return
		}
		pause := readSpacing
		switch {
		case errors.Is(err, errNothingYet):
			err, pause = nil, readRetry
		case err != nil:
			r.failed()
			pause = readRetry
		}
		r.lost.Store(err != nil)
		seen.note(err)
		backing.Pause(ctx, pause)
	}
}

// wait waits until a read may be due, and says whether it is.
func (r *poller) wait(ctx context.Context, before int) bool {
	age, known := r.age()
	left := r.every(before) - age
	if !known || left <= 0 {
		return true
	}
	timer := time.NewTimer(min(left, roleLook))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-r.urge:
		return true
	case <-timer.C:
	}
	return false
}

// every is the age of a confirmation at which this host reads the source, with
// so many followers before it.
func (r *poller) every(before int) time.Duration {
	share := followShare + (pollShare-followShare)*float64(min(before, followers))/followers
	return max(minPoll, time.Duration(share*float64(r.bound)))
}
