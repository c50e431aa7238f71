package node

import (
	"context"
	"sync"
)

// loops is a group of background functions that are stopped together.
type loops struct {
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// startLoops starts the functions, each in a goroutine. Their context keeps the values of
// ctx but is canceled only by stop.
func startLoops(ctx context.Context, functions ...func(context.Context)) *loops {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	l := &loops{cancel: cancel}
	for _, function := range functions {
		l.done.Go(func() { function(ctx) })
	}
	return l
}

// stop cancels the functions' context and waits until all have returned.
func (l *loops) stop() {
	l.cancel()
	l.done.Wait()
}
