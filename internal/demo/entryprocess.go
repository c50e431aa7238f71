package demo

import (
	"context"
	"log/slog"
	"sync"

	"github.com/acacialink/acacialink/internal/certs"
	"github.com/acacialink/acacialink/internal/node"
	"github.com/acacialink/acacialink/internal/settings"
)

// entryProcess is an entry host of a site that can be killed and restarted.
type entryProcess struct {
	settings   settings.Entry
	certSource certs.Source
	log        *slog.Logger

	mu     sync.Mutex // guards the fields below
	entry  *node.Entry
	ctx    context.Context
	runErr error
	// done is closed when the current instance has stopped, and restarted when the
	// next one has started.
	done, restarted chan struct{}
}

// start starts the entry host. It performs a planned stop when ctx ends.
func (p *entryProcess) start(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ctx = ctx
	p.startLocked()
}

// startLocked runs the current entry host in a goroutine. The caller must hold mu.
func (p *entryProcess) startLocked() {
	entry, done := p.entry, make(chan struct{})
	p.done = done
	p.restarted = make(chan struct{})
	go func() {
		defer close(done)
		err := entry.Run(p.ctx)
		p.mu.Lock()
		p.runErr = err
		p.mu.Unlock()
	}()
}

// wait waits until the context of start has ended and the last instance of the entry
// host has stopped. It returns that instance's error.
func (p *entryProcess) wait() error {
	for {
		p.mu.Lock()
		ctx, done, restarted := p.ctx, p.done, p.restarted
		p.mu.Unlock()
		<-done
		select {
		case <-restarted:
			continue
		case <-ctx.Done():
		}
		p.mu.Lock()
		last := done == p.done
		err := p.runErr
		p.mu.Unlock()
		if last {
			return err
		}
	}
}

// kill stops the entry host without a planned stop and waits until it has ended.
func (p *entryProcess) kill() {
	p.mu.Lock()
	entry, done := p.entry, p.done
	p.mu.Unlock()
	entry.Kill()
	<-done
}

// restart starts a new instance of the entry host on the same addresses.
func (p *entryProcess) restart() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.ctx.Err(); err != nil {
		return err // the site is stopping
	}
	s := p.settings
	s.Listen = settings.EntryListen{
		Callers:   p.entry.CallerAddr(),
		Operators: p.entry.OperatorAddr(),
		Peers:     p.entry.PeerAddr(),
	}
	entry, err := node.NewEntry(p.ctx, s, p.certSource, p.log)
	if err != nil {
		return err
	}
	p.entry = entry
	restarted := p.restarted
	p.startLocked()
	close(restarted)
	return nil
}
