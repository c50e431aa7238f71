package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/acacialink/acacialink/examples"
	"github.com/acacialink/acacialink/internal/observe"
)

// loadGenerator sends sample traffic on behalf of the festival's workspaces.
type loadGenerator struct {
	baseURLs      []string
	client        *http.Client
	firstToken    *observe.Histogram
	betweenTokens *observe.Histogram

	complete, broken, refused, calls, tokens atomic.Int64
}

func newLoadGenerator(s *Site) *loadGenerator {
	registry := observe.NewRegistry(observe.Identity{})
	l := &loadGenerator{
		client:        &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns}},
		firstToken:    registry.NewHistogram("first_token"),
		betweenTokens: registry.NewHistogram("between_tokens"),
	}
	for _, e := range s.Entries {
		l.baseURLs = append(l.baseURLs, "http://"+e.CallerAddr())
	}
	return l
}

const (
	maxIdleConns = 64
	// thinkTime is the mean delay of a caller between two requests.
	thinkTime = 300 * time.Millisecond
	// callShare is the fraction of requests that call the order service.
	callShare = 0.3
)

// runCaller sends requests sequentially until ctx ends. number selects the
// workspace and seeds the random generator.
func (l *loadGenerator) runCaller(ctx context.Context, number int) {
	rnd := rand.New(rand.NewPCG(uint64(number), 1))
	workspaces := []string{"residents", "schools", "parishes", "design-chat", "clerks"}
	key := examples.FestivalKeys()[workspaces[number%len(workspaces)]]
	for ctx.Err() == nil {
		base := l.baseURLs[rnd.IntN(len(l.baseURLs))]
		if rnd.Float64() < callShare {
			l.sendCall(ctx, base, key, rnd)
		} else {
			l.sendChat(ctx, base, key, rnd)
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(rnd.ExpFloat64() * float64(thinkTime))):
		}
	}
}

// sendCall either orders a float, which must be executed exactly once, or requests
// a status.
func (l *loadGenerator) sendCall(ctx context.Context, base, key string, rnd *rand.Rand) {
	method, path, body := http.MethodGet, fmt.Sprintf("/status/%d", rnd.IntN(1000)), ""
	if rnd.IntN(2) == 0 {
		method, path, body = http.MethodPost, "/orders", fmt.Sprintf(`{"float":%d}`, rnd.IntN(1000))
	}
	response, err := l.send(ctx, method, base+path, key, body, fmt.Sprintf("demo-%x", rnd.Uint64()))
	if err != nil {
		return
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	l.countStatus(response.StatusCode, &l.calls)
}

func (l *loadGenerator) send(ctx context.Context, method, url, key, body, idempotencyKey string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+key)
	if idempotencyKey != "" {
		r.Header.Set("Idempotency-Key", idempotencyKey)
	}
	return l.client.Do(r)
}

func (l *loadGenerator) countStatus(status int, ok *atomic.Int64) {
	if status < http.StatusBadRequest {
		ok.Add(1)
		return
	}
	l.refused.Add(1)
}

// sendChat sends a streaming chat request and records the token latencies.
func (l *loadGenerator) sendChat(ctx context.Context, base, key string, rnd *rand.Rand) {
	body, _ := json.Marshal(map[string]any{
		"model": "lantern", "stream": true, "max_tokens": 20 + rnd.IntN(80),
		"messages": []map[string]string{{"role": "user", "content": strings.Repeat("Which lantern float suits a family? ", 1+rnd.IntN(60))}},
	})
	start := time.Now()
	response, err := l.send(ctx, http.MethodPost, base+"/v1/chat/completions", key, string(body), "")
	if err != nil {
		return
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		l.refused.Add(1)
		return
	}
	if l.readStream(response.Body, start) {
		l.complete.Add(1)
	} else if ctx.Err() == nil {
		l.broken.Add(1)
	}
}

// readStream reads a stream, records its token latencies and reports whether it
// ended with the end marker.
func (l *loadGenerator) readStream(body io.Reader, start time.Time) bool {
	last := start
	first := true
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := bytes.CutPrefix(scanner.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			return true
		}
		now := time.Now()
		if first {
			l.firstToken.Record(now.Sub(start))
			first = false
		} else {
			l.betweenTokens.Record(now.Sub(last))
		}
		last = now
		l.tokens.Add(1)
	}
	return false
}

// report prints a line of metrics at each interval until ctx ends.
func (l *loadGenerator) report(ctx context.Context, out io.Writer, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var previous int64
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		tokens := l.tokens.Load()
		fmt.Fprintf(out, "answers %d  broken %d  calls %d  refused %d  tokens/s %.0f  first token p95 %s  between tokens p95 %s\n",
			l.complete.Load(), l.broken.Load(), l.calls.Load(), l.refused.Load(),
			float64(tokens-previous)/interval.Seconds(), p95(l.firstToken), p95(l.betweenTokens))
		previous = tokens
	}
}

func p95(h *observe.Histogram) time.Duration {
	return time.Duration(h.Snapshot().Recent.P95 * float64(time.Millisecond)).Round(time.Millisecond / 10)
}
