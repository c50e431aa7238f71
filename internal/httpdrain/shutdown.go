package httpdrain

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/acacialink/acacialink/internal/termination"
)

// arrivalTimeout bounds the wait for the first request on connections that were accepted
// before the listener closed.
const arrivalTimeout = 400 * time.Millisecond

// ShutDown ends the server so that each request that it has read is answered. It refuses new
// requests and closes the listener; waits for those in progress or arriving, and interrupts
// them at the plan's end; ends the connections; and closes those that are left at plan.Close.
// It returns how many these were, with those closed before with answers undelivered. The handler must ask the state before it begins a request.
func (t *Tracker) ShutDown(ctx context.Context, server *http.Server, l net.Listener, state *termination.State, plan termination.Plan) (cut int, err error) {
	state.Close()
	_ = l.Close()
	ending, cancel := context.WithDeadline(ctx, plan.End)
	defer cancel()
	arriving, cancel := context.WithTimeout(ending, arrivalTimeout)
	defer cancel()
	t.Wait(arriving)
	t.WaitAnswered(ending)
	state.Interrupt()
	closing, cancel := context.WithDeadline(ctx, plan.Close)
	defer cancel()
	cut = t.Finish(closing)
	state.Sever()
	return cut, server.Close()
}
