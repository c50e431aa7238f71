package replay

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/verdict"
)

// repeatPause is the pause before a request is sent again.
const repeatPause = 200 * time.Millisecond

// maxErrorBytes bounds what is read of an error's body.
const maxErrorBytes = 64 << 10

// one sends a request, again where a caller would, and fills in its sample.
func (r *runner) one(ctx context.Context, i int, due time.Time) {
	s := &r.samples[i]
	s.Lag = ms(time.Since(due))
	ctx, cancel := context.WithTimeout(ctx, r.opts.Timeout)
	defer cancel()
	for s.Attempts < r.opts.Attempts {
		s.Attempts++
		entry := r.entries.pick()
		err := r.attempt(ctx, i, r.entries.bases[entry], due)
		unsent := neverSent(err)
		if unsent {
			r.entries.unreachable(entry)
		}
		if ctx.Err() != nil || !r.repeats(s, err, unsent) {
			break
		}
		if !unsent && !waitUntil(ctx, time.Now().Add(repeatPause)) {
			break
		}
	}
	s.Total = ms(time.Since(due))
}

// repeats says whether a caller sends the request again: at once elsewhere
// when the host could not be reached, as the balancer does; and for a call of
// a plain service, under the same idempotency key, when its outcome is open.
func (r *runner) repeats(s *Sample, err error, unsent bool) bool {
	if unsent {
		return true
	}
	if s.chat() {
		return false
	}
	return err != nil || s.Status == http.StatusServiceUnavailable || s.Status == http.StatusBadGateway
}

// neverSent says whether no connection was made.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// attempt sends a request once. An error means that there was no answer.
func (r *runner) attempt(ctx context.Context, i int, base string, due time.Time) error {
	s := &r.samples[i]
	s.Status, s.Verdict, s.Code = 0, "", ""
	request, err := r.build(ctx, i, base)
	if err != nil {
		s.Code = "client_error"
		return err
	}
	response, err := r.opts.Client.Do(request)
	if err != nil {
		s.Code = codeOf(err)
		return err
	}
	defer response.Body.Close()
	s.Status = response.StatusCode
	s.Verdict = response.Header.Get(verdict.Header)
	switch {
	case s.Status != http.StatusOK && s.chat() || s.Status >= http.StatusBadRequest:
		s.readError(response.Body)
	case s.chat():
		s.readStream(response.Body, due, r.trace.Requests[i].Generated)
	default:
		return s.readAnswer(response.Body)
	}
	return nil
}

// codeOf names a failure without an answer.
func codeOf(err error) string {
	switch {
	case neverSent(err):
		return "unreachable"
	case errors.Is(err, context.DeadlineExceeded):
		return "timeout"
	default:
		return "connection_lost"
	}
}

// build returns the HTTP request of a row.
func (r *runner) build(ctx context.Context, i int, base string) (*http.Request, error) {
	row, s := &r.trace.Requests[i], &r.samples[i]
	method, url, body := http.MethodPost, base+"/v1/chat/completions", ""
	if s.chat() {
		body = r.chatBody(i)
	} else {
		method, url = splitRoute(row.Route)
		url = base + url
		if method != http.MethodGet {
			body = fmt.Sprintf(`{"replay":%q,"seed":%d,"request":%d}`, r.trace.Name, r.trace.Seed, i)
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil // The transport must not send anything twice by itself.
	request.Header.Set("Authorization", "Bearer "+r.opts.Keys[s.Workspace])
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Request-Id", r.key(i))
	if row.Priority != "" {
		request.Header.Set("X-Acacialink-Priority", row.Priority)
	}
	if !s.chat() && method != http.MethodGet {
		request.Header.Set("Idempotency-Key", r.key(i))
	}
	return request, nil
}

// key names one request of one replay.
func (r *runner) key(i int) string {
	return fmt.Sprintf("replay-%x-%d-%d", r.start.UnixNano(), r.trace.Seed, i)
}

func splitRoute(route string) (method, path string) {
	method, path, found := strings.Cut(route, " ")
	if !found {
		return http.MethodGet, route
	}
	return method, path
}

func (r *runner) chatBody(i int) string {
	row := &r.trace.Requests[i]
	body, _ := json.Marshal(struct {
		Model     string    `json:"model"`
		Stream    bool      `json:"stream"`
		MaxTokens int       `json:"max_tokens"`
		Messages  []message `json:"messages"`
	}{r.opts.Model, true, row.Generated, []message{{"user", row.prompt(r.trace.Seed, i)}}}) // Strings and numbers only: can't fail.
	return string(body)
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// errorBody is the system's error in an answer or in a stream.
type errorBody struct {
	Error struct {
		Code    string `json:"code"`
		Verdict string `json:"verdict"`
	} `json:"error"`
}

func (s *Sample) readError(body io.Reader) {
	text, _ := io.ReadAll(io.LimitReader(body, maxErrorBytes))
	var e errorBody
	if json.Unmarshal(text, &e) == nil {
		s.Code = e.Error.Code
	}
}

// readAnswer reads the whole answer of a plain service.
func (s *Sample) readAnswer(body io.Reader) error {
	if _, err := io.Copy(io.Discard, body); err != nil {
		s.Code = "connection_lost"
		return errors.Wrap(err, "read answer")
	}
	s.Whole = true
	return nil
}
