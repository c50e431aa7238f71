package backing_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/acacialink/acacialink/internal/backing"
)

// BenchmarkServiceCall compares an idempotent call on a reused connection with
// an at-most-once call on a new connection.
func BenchmarkServiceCall(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok"))
	}))
	defer server.Close()
	service := backing.NewHTTPService(server.URL, nil)
	for name, idempotent := range map[string]bool{"reused": true, "fresh": false} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				_, err := service.Call(b.Context(), backing.ServiceRequest{
					Method: http.MethodPost, Path: "/", Body: []byte("body"), Idempotent: idempotent,
				})
				if err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
