package kvserver_test

import (
	"net/http/httptest"
	"strconv"
	"testing"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/standin/kv"
	"github.com/acacialink/acacialink/internal/standin/kvserver"
)

func benchmarkWrites(b *testing.B, s backing.Store) {
	for i := 0; b.Loop(); i++ {
		if _, err := s.CompareAndSwap(b.Context(), strconv.Itoa(i), 0, []byte("value"), 0); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkCompareAndSwap measures a write in process and over HTTP.
func BenchmarkCompareAndSwap(b *testing.B) {
	b.Run("direct", func(b *testing.B) { benchmarkWrites(b, kv.New(kv.Options{})) })
	b.Run("http", func(b *testing.B) {
		server := httptest.NewServer(kvserver.New(kvserver.Options{}).Handler())
		defer server.Close()
		benchmarkWrites(b, backing.NewHTTPStore(server.URL, nil))
	})
}
