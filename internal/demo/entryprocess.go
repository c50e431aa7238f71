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
	done   chan struct{}
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
	go func() {
		defer close(done)
		err := entry.Run(p.ctx)
		p.mu.Lock()
		p.runErr = err
		p.mu.Unlock()
	}()
}

// wait waits until the current entry host has stopped and returns its error.
func (p *entryProcess) wait() error {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	<-done
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runErr
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
	p.startLocked()
	return nil
}
