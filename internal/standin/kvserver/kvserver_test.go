package kvserver_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/standin/kvserver"
	"github.com/matryer/is"
	"github.com/pkg/errors"
)

func put(t *testing.T, url, body string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Fatal(resp.Status)
	}
}

func TestStoreOverHTTPPreservesValuesAndErrors(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	server := httptest.NewServer(kvserver.New(kvserver.Options{}).Handler())
	defer server.Close()
	s := backing.NewHTTPStore(server.URL+"/clients/north", nil)
	_, err := s.Get(ctx, "a")
	is.True(errors.Is(err, backing.ErrNotFound))
	l, err := s.Grant(ctx, time.Minute)
	is.NoErr(err)
	value := []byte{0, 255, '\n'}
	revision, err := s.CompareAndSwap(ctx, "a", 0, value, l.ID)
	is.NoErr(err)
	_, err = s.CompareAndSwap(ctx, "a", 0, value, 0)
	is.True(errors.Is(err, backing.ErrConflict))
	item, err := s.Get(ctx, "a")
	is.NoErr(err)
	is.Equal(item, backing.KeyValue{Key: "a", Value: value, Revision: revision, Lease: l.ID})
	_, err = s.KeepAlive(ctx, l.ID)
	is.NoErr(err)
	is.NoErr(s.Revoke(ctx, l.ID))
	_, err = s.KeepAlive(ctx, l.ID)
	is.True(errors.Is(err, backing.ErrLeaseExpired))
	events, _, err := s.Watch(ctx, "a", 0, time.Minute)
	is.NoErr(err)
	is.Equal(len(events), 2)
	is.True(events[1].Deleted)
	items, revision, err := s.List(ctx, "")
	is.NoErr(err)
	is.Equal(len(items), 0)
	is.Equal(revision, backing.Revision(2))
}

func TestFaultsOverHTTPAffectOneClient(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	server := httptest.NewServer(kvserver.New(kvserver.Options{}).Handler())
	defer server.Close()
	north := backing.NewHTTPStore(server.URL+"/clients/north", nil)
	south := backing.NewHTTPStore(server.URL+"/clients/south", nil)
	put(t, server.URL+"/faults/clients/north", `{"down":true}`)
	_, err := north.CompareAndSwap(ctx, "a", 0, nil, 0)
	is.True(errors.Is(err, backing.ErrUnavailable))
	put(t, server.URL+"/faults/clients/south", `{"lose_next":1}`)
	_, err = south.CompareAndSwap(ctx, "a", 0, []byte("x"), 0)
	is.True(errors.Is(err, backing.ErrUnknown))
	item, err := south.Get(ctx, "a")
	is.NoErr(err)
	is.Equal(string(item.Value), "x")
}
