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

// steadyEngine emits one token each tokenInterval.
type steadyEngine struct{ backing.Engine }

func (steadyEngine) Load(context.Context) (backing.EngineLoad, error) {
	return backing.EngineLoad{Role: backing.RoleMixed, Models: []string{testModel}, TotalBlocks: 1 << 20, FreeBlocks: 1 << 20, Ready: true}, nil
}

func (steadyEngine) CacheEvents(context.Context, uint64) ([]backing.CacheEvent, error) {
	return nil, nil
}

// tokenInterval is the time between two tokens of steadyEngine.
const tokenInterval = 2 * time.Millisecond

func (steadyEngine) Generate(ctx context.Context, g backing.Generation, emit func(backing.Token) error) (backing.Finish, error) {
	ticker := time.NewTicker(tokenInterval)
	defer ticker.Stop()
	for i := g.Resume; i < g.MaxTokens; i++ {
		<-ticker.C
		if err := emit(backing.Token{Index: i, Text: " token"}); err != nil {
			return backing.Finish{}, err
		}
	}
	return backing.Finish{Reason: "length", PromptTokens: 1, OutputTokens: g.MaxTokens}, ctx.Err()
}

func newOKService() *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write([]byte(`{"ok":true}`))
	}))
}

// measureCallLatency sends calls one after the other and reports the latency
// percentiles p50 and p99 in microseconds.
func measureCallLatency(b *testing.B, url, key string) {
	b.Helper()
	client := &http.Client{}
	latencies := make([]time.Duration, 0, b.N)
	b.ReportAllocs()
	for b.Loop() {
		r, _ := http.NewRequestWithContext(b.Context(), http.MethodGet, url, nil)
		r.Header.Set("Authorization", "Bearer "+key)
		start := time.Now()
		response, err := client.Do(r)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		latencies = append(latencies, time.Since(start))
	}
	sort.Slice(latencies, func(i, j int) bool { return latencies[i] < latencies[j] })
	b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99-us")
}

// BenchmarkDirectCall measures calls to the service without acacialink.
func BenchmarkDirectCall(b *testing.B) {
	server := newOKService()
	defer server.Close()
	measureCallLatency(b, server.URL+"/status/1", testKey)
}

// BenchmarkCall measures calls to the same service through the server and an agent.
func BenchmarkCall(b *testing.B) {
	server := newOKService()
	defer server.Close()
	host := newTestHost(b, map[string]agent.Options{"orders-1": {Service: backing.NewHTTPService(server.URL, nil)}})
	measureCallLatency(b, host.url+"/status/1", testKey)
}

// BenchmarkCallParallel measures the throughput of concurrent calls through the
// server and an agent.
func BenchmarkCallParallel(b *testing.B) {
	server := newOKService()
	defer server.Close()
	host := newTestHost(b, map[string]agent.Options{"orders-1": {Service: backing.NewHTTPService(server.URL, nil)}})
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	b.SetParallelism(8)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r, _ := http.NewRequestWithContext(b.Context(), http.MethodGet, host.url+"/status/1", nil)
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

// concurrentStreams is the number of simultaneous streams of BenchmarkStream.
const concurrentStreams = 400

// BenchmarkStream measures the cost of one streamed token from an agent through the
// server to a caller, with concurrentStreams streams open.
func BenchmarkStream(b *testing.B) {
	host := newTestHost(b, map[string]agent.Options{"engine-1": {Engine: steadyEngine{}}})
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: concurrentStreams}}
	var remaining atomic.Int64
	remaining.Store(int64(b.N))
	var tokens atomic.Int64
	b.ReportAllocs()
	b.ResetTimer()
	cpuStart := processCPUTime()
	var wg sync.WaitGroup
	for range concurrentStreams {
		wg.Go(func() {
			for remaining.Load() > 0 {
				n := min(remaining.Add(-200)+200, 200)
				if n <= 0 {
					return
				}
				r, _ := http.NewRequestWithContext(b.Context(), http.MethodPost, host.url+"/v1/chat/completions", strings.NewReader(chatBody("x", int(n), true)))
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
	b.ReportMetric(float64((processCPUTime()-cpuStart).Nanoseconds())/float64(tokens.Load()), "cpu-ns/token")
}

// processCPUTime returns the CPU time of this process, which runs the server, the
// agent and the callers.
func processCPUTime() time.Duration {
	var usage unix.Rusage
	_ = unix.Getrusage(unix.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
