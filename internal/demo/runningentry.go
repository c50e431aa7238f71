package demo

import (
	"context"
	"log/slog"
	"sync"

	"github.com/acacialink/acacialink/internal/certs"
	"github.com/acacialink/acacialink/internal/node"
	"github.com/acacialink/acacialink/internal/settings"
)

// runningEntry is an entry host of a site that may be lost and come back.
type runningEntry struct {
	settings settings.Entry
	source   certs.Source
	log      *slog.Logger

	mu    sync.Mutex
	entry *node.Entry
	ctx   context.Context
	err   error
	done  chan struct{}
}

// run starts the entry host; it makes a planned stop when ctx ends.
func (r *runningEntry) run(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ctx = ctx
	r.begin()
}

// begin runs the present entry host. The caller holds mu.
func (r *runningEntry) begin() {
	entry, done := r.entry, make(chan struct{})
	r.done = done
	go func() {
		defer close(done)
		err := entry.Run(r.ctx)
		r.mu.Lock()
		r.err = err
		r.mu.Unlock()
	}()
}

// wait returns once the entry host has stopped.
func (r *runningEntry) wait() error {
	r.mu.Lock()
	done := r.done
	r.mu.Unlock()
	<-done
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err
}

// kill ends the entry host without a planned stop.
func (r *runningEntry) kill() {
	r.mu.Lock()
	entry, done := r.entry, r.done
	r.mu.Unlock()
	entry.Kill()
	<-done
}

// restart starts a new process's worth of the entry host on the old addresses.
func (r *runningEntry) restart() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.settings
	s.Listen = settings.EntryListen{
		Callers:   r.entry.CallerAddr(),
		Operators: r.entry.OperatorAddr(),
		Peers:     r.entry.PeerAddr(),
	}
	entry, err := node.NewEntry(r.ctx, s, r.source, r.log)
	if err != nil {
		return err
	}
	r.entry = entry
	r.begin()
	return nil
}
