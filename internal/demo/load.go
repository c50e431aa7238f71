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

// load sends sample traffic of the festival's workspaces.
type load struct {
	addresses  []string
	client     *http.Client
	firstToken *observe.Histogram
	between    *observe.Histogram

	whole, broken, refused, calls, tokens atomic.Int64
}

func newLoad(s *Site) *load {
	registry := observe.NewRegistry(observe.Identity{})
	l := &load{
		client:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdle}},
		firstToken: registry.NewHistogram("first_token"),
		between:    registry.NewHistogram("between_tokens"),
	}
	for _, e := range s.Entries {
		l.addresses = append(l.addresses, "http://"+e.CallerAddr())
	}
	return l
}

const (
	maxIdle = 64
	// thinkTime is the mean pause of a caller between two requests.
	thinkTime = 300 * time.Millisecond
	// callShare is the share of calls to the order service.
	callShare = 0.3
)

// caller sends one request after the other until ctx ends.
func (l *load) caller(ctx context.Context, number int) {
	rnd := rand.New(rand.NewPCG(uint64(number), 1))
	workspaces := []string{"residents", "schools", "parishes", "design-chat", "clerks"}
	key := examples.FestivalKeys()[workspaces[number%len(workspaces)]]
	for ctx.Err() == nil {
		base := l.addresses[rnd.IntN(len(l.addresses))]
		if rnd.Float64() < callShare {
			l.call(ctx, base, key, rnd)
		} else {
			l.chat(ctx, base, key, rnd)
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(rnd.ExpFloat64() * float64(thinkTime))):
		}
	}
}

// call orders a float, which must happen once, or asks for a status.
func (l *load) call(ctx context.Context, base, key string, rnd *rand.Rand) {
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
	l.count(response.StatusCode, &l.calls)
}

func (l *load) send(ctx context.Context, method, url, key, body, idempotencyKey string) (*http.Response, error) {
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

func (l *load) count(status int, ok *atomic.Int64) {
	if status < http.StatusBadRequest {
		ok.Add(1)
		return
	}
	l.refused.Add(1)
}

// chat streams one answer and records its times.
func (l *load) chat(ctx context.Context, base, key string, rnd *rand.Rand) {
	body, _ := json.Marshal(map[string]any{
		"model": "lantern", "stream": true, "max_tokens": 20 + rnd.IntN(80),
		"messages": []map[string]string{{"role": "user", "content": strings.Repeat("Which lantern float suits a family? ", 1+rnd.IntN(60))}},
	})
	begun := time.Now()
	response, err := l.send(ctx, http.MethodPost, base+"/v1/chat/completions", key, string(body), "")
	if err != nil {
		return
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		l.refused.Add(1)
		return
	}
	if l.read(response.Body, begun) {
		l.whole.Add(1)
	} else if ctx.Err() == nil {
		l.broken.Add(1)
	}
}

// read reads a stream and says whether it ended with its end marker.
func (l *load) read(body io.Reader, begun time.Time) bool {
	last := begun
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
			l.firstToken.Record(now.Sub(begun))
			first = false
		} else {
			l.between.Record(now.Sub(last))
		}
		last = now
		l.tokens.Add(1)
	}
	return false
}

// report prints a line of figures at each interval.
func (l *load) report(ctx context.Context, out io.Writer, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var before int64
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		tokens := l.tokens.Load()
		fmt.Fprintf(out, "answers %d  broken %d  calls %d  refused %d  tokens/s %.0f  first token p95 %s  between tokens p95 %s\n",
			l.whole.Load(), l.broken.Load(), l.calls.Load(), l.refused.Load(),
			float64(tokens-before)/interval.Seconds(), p95(l.firstToken), p95(l.between))
		before = tokens
	}
}

func p95(h *observe.Histogram) time.Duration {
	return time.Duration(h.Snapshot().Recent.P95 * float64(time.Millisecond)).Round(time.Millisecond / 10)
}
