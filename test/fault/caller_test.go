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
	// maxPaymentAttempts bounds how many times a caller sends a payment with the
	// same idempotency key while the outcome is unknown.
	maxPaymentAttempts = 3
)

// caller sends requests sequentially until the load ends.
type caller struct {
	load  *load
	rng   *rand.Rand
	key   apiKey
	index int
}

func (c *caller) run(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		switch c.rng.IntN(4) {
		case 0:
			c.sendPayment(ctx, i)
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

// requestSpec is a request to send and the fields of its audit record that are
// known before it is sent.
type requestSpec struct {
	audit.Request
	method string
	body   []byte
}

func (c *caller) completionRequest(i int) requestSpec {
	prompt := fmt.Sprintf("caller %d asks %d: %s", c.index, i, strings.Repeat("a float for two? ", c.rng.IntN(100)))
	body, _ := json.Marshal(map[string]any{
		"model": model, "prompt": prompt, "stream": c.rng.IntN(4) > 0, "max_tokens": 5 + c.rng.IntN(40),
	})
	return requestSpec{
		Request: audit.Request{Generation: true, Path: "/v1/completions", Seed: engine.Seed(model, "", prompt)},
		method:  http.MethodPost, body: body,
	}
}

func (c *caller) statusRequest(i int) requestSpec {
	path := fmt.Sprintf("/status/%d-%d", c.index, i)
	return requestSpec{Request: audit.Request{Path: path, BodyHash: xxhash.Sum64(nil)}, method: http.MethodGet}
}

// sendPayment sends a payment and retries it with the same idempotency key
// while the outcome is unknown.
func (c *caller) sendPayment(ctx context.Context, i int) {
	body := fmt.Appendf(nil, `{"caller":%d,"order":%d}`, c.index, i)
	payment := requestSpec{
		Request: audit.Request{
			Path: "/orders", IdempotencyKey: fmt.Sprintf("pay-%d-%d", c.index, i), BodyHash: xxhash.Sum64(body),
		},
		method: http.MethodPost, body: body,
	}
	for range maxPaymentAttempts {
		result := c.send(ctx, payment)
		if result.Status == http.StatusOK && result.Complete {
			return
		}
		c.sleep(ctx, 4*thinkTime)
	}
}

// send sends a request to a random ready entry host and records the outcome. An
// attempt that got no connection is not recorded.
func (c *caller) send(ctx context.Context, spec requestSpec) audit.Request {
	h := c.load.pick(c.rng)
	if h == nil || ctx.Err() != nil {
		c.sleep(ctx, thinkTime)
		return audit.Request{}
	}
	result := spec.Request
	result.Entry = h.name
	result.Key = c.key.name
	result.Sent = time.Now()
	connected := c.roundTrip(h, spec, &result)
	result.Done = time.Now()
	if connected {
		c.load.recordRequest(result)
	}
	return result
}

// roundTrip sends the request and writes the response to result. It does not use
// the load's context, so that ending the load does not cancel running requests.
// connected reports whether a connection was obtained.
func (c *caller) roundTrip(h *host, spec requestSpec, result *audit.Request) (connected bool) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	req, err := http.NewRequestWithContext(ctx, spec.method, "http://"+h.callerAddress+result.Path, bytes.NewReader(spec.body))
	if err != nil {
		return false
	}
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+c.key.secret)
	if result.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", result.IdempotencyKey)
	}
	resp, err := c.load.client.Do(req)
	if err != nil {
		return connected
	}
	defer resp.Body.Close()
	result.ID = resp.Header.Get("X-Request-Id")
	result.Verdict = resp.Header.Get("Acacialink-Verdict")
	result.Status = resp.StatusCode
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		readStream(resp.Body, result)
	} else {
		readBody(resp.Body, result)
	}
	return true
}

// completion holds the fields that the caller decodes of a completion or of one
// chunk of a streamed completion.
type completion struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

func (c completion) text() string {
	if len(c.Choices) == 0 {
		return ""
	}
	return c.Choices[0].Text
}

func readStream(body io.Reader, result *audit.Request) {
	var text strings.Builder
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			result.Complete = true
			break
		}
		var chunk completion
		if json.Unmarshal([]byte(data), &chunk) != nil {
			break
		}
		text.WriteString(chunk.text())
	}
	result.Text = text.String()
}

func errorCode(body []byte) string {
	var response struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	_ = json.Unmarshal(body, &response)
	return response.Error.Code
}

func readBody(body io.Reader, result *audit.Request) {
	data, err := io.ReadAll(body)
	result.Complete = err == nil
	if result.Status != http.StatusOK || err != nil {
		result.Code = errorCode(data)
		return
	}
	if result.Generation {
		var full completion
		result.Complete = json.Unmarshal(data, &full) == nil
		result.Text = full.text()
		return
	}
	var answer service.Answer
	result.Complete = json.Unmarshal(data, &answer) == nil
	result.ResponseRequestID = answer.RequestID
	result.ResponseBodyHash, _ = strconv.ParseUint(answer.BodyHash, 10, 64)
}
