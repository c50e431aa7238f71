package demo

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/examples"
	"github.com/acacialink/acacialink/internal/node"
	"github.com/acacialink/acacialink/internal/opsclient"
)

// suspects sends a request below /v1/suspects of an entry host as an operator.
func suspects(t *testing.T, e *node.Entry, method, path string) (status int, body string) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, "http://"+e.OperatorAddr()+"/v1/suspects"+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+OperatorToken)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(text)
}

// What one entry host knows about a part of prompts reaches the others, also one that
// starts again.
func TestEntryHostsExchangeEvidence(t *testing.T) {
	is := is.New(t)
	resources, err := opsclient.ParseResources(examples.FestivalResources)
	is.NoErr(err)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	site, err := NewSite(ctx, resources, entrySettings(), slog.New(slog.DiscardHandler))
	is.NoErr(err)
	stopped := make(chan error, 1)
	go func() { stopped <- site.Run(ctx) }()
	<-site.started
	is.NoErr(site.bringUp(ctx, resources))
	allHold := func(want bool) {
		t.Helper()
		for _, e := range site.Entries {
			for {
				if _, body := suspects(t, e, http.MethodGet, ""); body != "" && strings.Contains(body, "5c1e07a2") == want {
					break
				}
				if ctx.Err() != nil {
					t.Fatal("the test ended first")
				}
				time.Sleep(20 * time.Millisecond)
			}
		}
	}
	status, _ := suspects(t, site.Entries[0], http.MethodPut, "/lantern/5c1e07a2")
	is.Equal(status, http.StatusNoContent)
	allHold(true)
	site.entryProcesses[1].kill()
	is.NoErr(site.entryProcesses[1].restart())
	allHold(true)
	status, _ = suspects(t, site.Entries[2], http.MethodDelete, "/lantern/5c1e07a2")
	is.Equal(status, http.StatusNoContent)
	allHold(false)
	stop()
	is.NoErr(<-stopped)
}
