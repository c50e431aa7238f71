package provider_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/standin/provider"
	"github.com/matryer/is"
	"github.com/pkg/errors"
)

func TestProviderStartsEndpointOnceAndBillsUntilReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := t.Context()
		starts := 0
		p := provider.New(provider.Options{
			ChecksFencing: true,
			Start:         func(backing.EndpointOrder) string { starts++; return "10.0.0.1:1" },
		})
		o := backing.EndpointOrder{ID: "o", Fence: 2, Domain: "north", Pool: "chat"}
		for range 2 {
			_, err := p.Order(ctx, o)
			is.NoErr(err)
		}
		time.Sleep(29 * time.Second)
		list, err := p.Endpoints(ctx, "chat")
		is.NoErr(err)
		is.Equal(list[0].State, backing.ProvidedStarting)
		time.Sleep(2 * time.Second)
		list, err = p.Endpoints(ctx, "chat")
		is.NoErr(err)
		is.Equal(list[0].Agent, "10.0.0.1:1")
		is.Equal(starts, 1)
		is.True(errors.Is(p.Return(ctx, "o", 1, "old"), backing.ErrFenced))
		is.NoErr(p.Return(ctx, "o", 2, "new"))
		time.Sleep(time.Minute)
		is.Equal(p.Record().Billed[0].Seconds, 31.0)
		is.Equal(len(p.Record().Orders), 4)
		p.SetFull("south", true)
		_, err = p.Order(ctx, backing.EndpointOrder{ID: "p", Fence: 2, Domain: "south"})
		is.True(errors.Is(err, backing.ErrUnavailable))
	})
}

func TestProviderExecutesOrderWithLostAnswer(t *testing.T) {
	is := is.New(t)
	p := provider.New(provider.Options{})
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	client := backing.NewHTTPProvider(server.URL, nil)
	is.NoErr(put(t, server.URL+"/faults", `{"lose_next":1}`))
	_, err := client.Order(t.Context(), backing.EndpointOrder{ID: "o", Domain: "north", Pool: "chat"})
	is.True(errors.Is(err, backing.ErrUnknown))
	list, err := client.Endpoints(t.Context(), "chat")
	is.NoErr(err)
	is.Equal(len(list), 1)
	is.NoErr(put(t, server.URL+"/faults", `{"down":true}`))
	is.True(errors.Is(client.Return(t.Context(), "o", 0, "n"), backing.ErrUnavailable))
}

func put(t *testing.T, url, body string) error {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}
