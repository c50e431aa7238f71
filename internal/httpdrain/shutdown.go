package httpdrain

import (
	"context"
	"net/http"

	"github.com/acacialink/acacialink/internal/termination"
)

// ShutDown waits until the server has no request, or ctx ends, closes the state, waits for
// the requests that had begun by then, and shuts the server down. A request that arrives
// while idle connections are closed is not begun, if the handler asks the state.
func (t *Tracker) ShutDown(ctx context.Context, server *http.Server, state *termination.State) error {
	t.Wait(ctx)
	//state.Close()
	t.WaitAnswered(ctx)
	return server.Shutdown(ctx)
}
