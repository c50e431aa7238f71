package node

import (
	"context"
	"sync"
)

// loops is a group of functions that run until they are stopped together.
type loops struct {
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// startLoops runs the functions until stop, whatever becomes of ctx.
func startLoops(ctx context.Context, run ...func(context.Context)) *loops {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	l := &loops{cancel: cancel}
	for _, one := range run {
		l.done.Go(func() { one(ctx) })
	}
	return l
}

// stop ends the functions and returns once all have returned.
func (l *loops) stop() {
	l.cancel()
	l.done.Wait()
}
