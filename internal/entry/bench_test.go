package entry_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/acacialink/acacialink/internal/agent"
	"github.com/acacialink/acacialink/internal/backing"
)

// burstEngine emits tokens as fast as they are taken.
type burstEngine struct{ backing.Engine }

func (burstEngine) Load(context.Context) (backing.EngineLoad, error) {
	return backing.EngineLoad{Role: backing.RoleMixed, Models: []string{testModel}, TotalPieces: 1 << 20, FreePieces: 1 << 20, Ready: true}, nil
}

func (burstEngine) CacheEvents(context.Context, uint64) ([]backing.CacheEvent, error) {
	return nil, nil
}

// burstStep is the time between two tokens of a stream.
const burstStep = 2 * time.Millisecond

func (burstEngine) Generate(ctx context.Context, g backing.Generation, emit func(backing.Token) error) (backing.Finish, error) {
	ticker := time.NewTicker(burstStep)
	defer ticker.Stop()
	for i := g.Resume; i < g.MaxTokens; i++ {
		<-ticker.C
		if err := emit(backing.Token{Index: i, Text: " token"}); err != nil {
			return backing.Finish{}, err
		}
	}
	return backing.Finish{Reason: "length", PromptTokens: 1, OutputTokens: g.MaxTokens}, ctx.Err()
}

func okService() *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write([]byte(`{"ok":true}`))
	}))
}

// callTimes sends calls one after the other and reports their percentiles.
func callTimes(b *testing.B, url, key string) {
	b.Helper()
	client := &http.Client{}
	times := make([]time.Duration, 0, b.N)
	b.ReportAllocs()
	for b.Loop() {
		r, _ := http.NewRequestWithContext(b.Context(), http.MethodGet, url, nil)
		r.Header.Set("Authorization", "Bearer "+key)
		begun := time.Now()
		response, err := client.Do(r)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		times = append(times, time.Since(begun))
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	b.ReportMetric(float64(times[len(times)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-us")
}

// BenchmarkDirectCall calls the service without acacialink.
func BenchmarkDirectCall(b *testing.B) {
	server := okService()
	defer server.Close()
	callTimes(b, server.URL+"/status/1", testKey)
}

// BenchmarkCall calls the same service through entry and agent.
func BenchmarkCall(b *testing.B) {
	server := okService()
	defer server.Close()
	s := newSite(b, map[string]agent.Options{"orders-1": {Service: backing.NewHTTPService(server.URL, nil)}})
	callTimes(b, s.url+"/status/1", testKey)
}

// BenchmarkCallParallel measures calls a second through entry and agent with
// many callers.
func BenchmarkCallParallel(b *testing.B) {
	server := okService()
	defer server.Close()
	s := newSite(b, map[string]agent.Options{"orders-1": {Service: backing.NewHTTPService(server.URL, nil)}})
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	b.SetParallelism(8)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r, _ := http.NewRequestWithContext(b.Context(), http.MethodGet, s.url+"/status/1", nil)
			r.Header.Set("Authorization", "Bearer "+testKey)
			response, err := client.Do(r)
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
	})
}

// benchStreams is the number of streams open at a time in BenchmarkStream.
const benchStreams = 400

// BenchmarkStream measures one streamed token through agent and entry to a
// caller, with many streams open at a time.
func BenchmarkStream(b *testing.B) {
	s := newSite(b, map[string]agent.Options{"engine-1": {Engine: burstEngine{}}})
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchStreams}}
	var left atomic.Int64
	left.Store(int64(b.N))
	var tokens atomic.Int64
	b.ReportAllocs()
	b.ResetTimer()
	begun := cpuTime()
	var wg sync.WaitGroup
	for range benchStreams {
		wg.Go(func() {
			for left.Load() > 0 {
				n := min(left.Add(-200)+200, 200)
				if n <= 0 {
					return
				}
				r, _ := http.NewRequestWithContext(b.Context(), http.MethodPost, s.url+"/v1/chat/completions", strings.NewReader(chatBody("x", int(n), true)))
				r.Header.Set("Authorization", "Bearer "+testKey)
				response, err := client.Do(r)
				if err != nil {
					b.Error(err)
					return
				}
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				tokens.Add(n)
			}
		})
	}
	wg.Wait()
	b.ReportMetric(float64(tokens.Load())/b.Elapsed().Seconds(), "tokens/s")
	b.ReportMetric(float64((cpuTime()-begun).Nanoseconds())/float64(tokens.Load()), "cpu-ns/token")
}

// cpuTime is the processor time of this process: entry, agent and caller together.
func cpuTime() time.Duration {
	var u unix.Rusage
	_ = unix.Getrusage(unix.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
