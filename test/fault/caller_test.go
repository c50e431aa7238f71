//go:build linux

package fault

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/acacialink/acacialink/internal/audit"
	"github.com/acacialink/acacialink/internal/standin/engine"
	"github.com/acacialink/acacialink/internal/standin/service"
)

const (
	requestTimeout = 90 * time.Second
	thinkTime      = 50 * time.Millisecond
	// sameKeyTries is how often a caller sends a payment whose outcome it does
	// not know, with the same idempotency key.
	sameKeyTries = 3
)

// caller sends one request after another until the load ends.
type caller struct {
	load   *load
	random *rand.Rand
	key    keySpec
	number int
}

func (c *caller) run(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		switch c.random.IntN(4) {
		case 0:
			c.pay(ctx, i)
		case 1:
			c.send(ctx, c.statusRequest(i))
		default:
			c.send(ctx, c.completionRequest(i))
		}
		c.sleep(ctx, thinkTime)
	}
}

func (c *caller) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// call is a request to send.
type call struct {
	audit.Request
	method string
	body   []byte
}

func (c *caller) completionRequest(i int) call {
	prompt := fmt.Sprintf("caller %d asks %d: %s", c.number, i, strings.Repeat("a float for two? ", c.random.IntN(100)))
	body, _ := json.Marshal(map[string]any{
		"model": model, "prompt": prompt, "stream": c.random.IntN(4) > 0, "max_tokens": 5 + c.random.IntN(40),
	})
	return call{
		Request: audit.Request{Generation: true, Path: "/v1/completions", Seed: engine.Seed(model, "", prompt)},
		method:  http.MethodPost, body: body,
	}
}

func (c *caller) statusRequest(i int) call {
	path := fmt.Sprintf("/status/%d-%d", c.number, i)
	return call{Request: audit.Request{Path: path, BodyHash: xxhash.Sum64(nil)}, method: http.MethodGet}
}

// pay sends a payment, and again with the same key while it is in doubt.
func (c *caller) pay(ctx context.Context, i int) {
	body := fmt.Appendf(nil, `{"caller":%d,"order":%d}`, c.number, i)
	payment := call{
		Request: audit.Request{
			Path: "/orders", IdempotencyKey: fmt.Sprintf("pay-%d-%d", c.number, i), BodyHash: xxhash.Sum64(body),
		},
		method: http.MethodPost, body: body,
	}
	for range sameKeyTries {
		r := c.send(ctx, payment)
		if r.Status == http.StatusOK && r.Complete {
			return
		}
		c.sleep(ctx, 4*thinkTime)
	}
}

// send sends a call to an entry host in rotation and records the outcome. A
// call that could not connect is no request; nothing is recorded.
func (c *caller) send(ctx context.Context, k call) audit.Request {
	h := c.load.pick(c.random)
	if h == nil || ctx.Err() != nil {
		c.sleep(ctx, thinkTime)
		return audit.Request{}
	}
	r := k.Request
	r.Entry = h.name
	r.Key = c.key.name
	r.Sent = time.Now()
	connected := c.exchange(h, k, &r)
	r.Done = time.Now()
	if connected {
		c.load.add(r)
	}
	return r
}

// exchange fills in what came back. It outlives the load's context: a running
// request is not given up when the load ends.
func (c *caller) exchange(h *host, k call, r *audit.Request) (connected bool) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	req, err := http.NewRequestWithContext(ctx, k.method, "http://"+h.callers+r.Path, bytes.NewReader(k.body))
	if err != nil {
		return false
	}
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+c.key.secret)
	if r.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", r.IdempotencyKey)
	}
	resp, err := c.load.client.Do(req)
	if err != nil {
		return connected
	}
	defer resp.Body.Close()
	r.ID = resp.Header.Get("X-Request-Id")
	r.Verdict = resp.Header.Get("Acacialink-Verdict")
	r.Status = resp.StatusCode
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		readStream(resp.Body, r)
	} else {
		readWhole(resp.Body, r)
	}
	return true
}

// chunk is the part of a completion or a chunk of it that the caller reads.
type chunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

func (c chunk) text() string {
	if len(c.Choices) == 0 {
		return ""
	}
	return c.Choices[0].Text
}

func readStream(body io.Reader, r *audit.Request) {
	var text strings.Builder
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.Complete = true
			break
		}
		var part chunk
		if json.Unmarshal([]byte(data), &part) != nil {
			break
		}
		text.WriteString(part.text())
	}
	r.Text = text.String()
}

func refusalCode(body []byte) string {
	var refusal struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	_ = json.Unmarshal(body, &refusal)
	return refusal.Error.Code
}

func readWhole(body io.Reader, r *audit.Request) {
	data, err := io.ReadAll(body)
	r.Complete = err == nil
	if r.Status != http.StatusOK || err != nil {
		r.Code = refusalCode(data)
		return
	}
	if r.Generation {
		var whole chunk
		r.Complete = json.Unmarshal(data, &whole) == nil
		r.Text = whole.text()
		return
	}
	var answer service.Answer
	r.Complete = json.Unmarshal(data, &answer) == nil
	r.ResponseRequestID = answer.RequestID
	r.ResponseBodyHash, _ = strconv.ParseUint(answer.BodyHash, 10, 64)
}
