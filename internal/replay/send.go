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

// retryDelay is the delay before retrying a request on a reachable host.
const retryDelay = 200 * time.Millisecond

// maxErrorBodyBytes is the maximum number of bytes read of an error response.
const maxErrorBodyBytes = 64 << 10

// sendWithRetries sends a request, retries it where a caller would, and records
// the outcome in its sample.
func (r *replayer) sendWithRetries(ctx context.Context, i int, due time.Time) {
	s := &r.samples[i]
	s.Lag = milliseconds(time.Since(due))
	ctx, cancel := context.WithTimeout(ctx, r.opts.Timeout)
	defer cancel()
	for s.Attempts < r.opts.MaxAttempts {
		s.Attempts++
		entry := r.entries.pick()
		err := r.sendOnce(ctx, i, r.entries.baseURLs[entry], due)
		dialFailed := isDialError(err)
		if dialFailed {
			r.entries.markUnreachable(entry)
		}
		if ctx.Err() != nil || !r.shouldRetry(s, err, dialFailed) {
			break
		}
		if !dialFailed && !waitUntil(ctx, time.Now().Add(retryDelay)) {
			break
		}
	}
	s.Total = milliseconds(time.Since(due))
}

// shouldRetry reports whether a caller would retry the request. An unreachable
// host leads to an immediate attempt on another one, as the platform's load
// balancer does. A call of a plain service whose outcome is unknown is retried
// with the same idempotency key; a chat is not.
func (r *replayer) shouldRetry(s *Sample, err error, dialFailed bool) bool {
	if dialFailed {
		return true
	}
	if s.isChat() {
		return false
	}
	return err != nil || s.Status == http.StatusServiceUnavailable || s.Status == http.StatusBadGateway
}

// isDialError reports whether err means that no connection was established, so
// that the request was not sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// sendOnce makes one attempt and records it in the sample. It returns an error if
// there was no response, or if the response of a plain service was incomplete. A
// broken stream is recorded in the sample only.
func (r *replayer) sendOnce(ctx context.Context, i int, base string, due time.Time) error {
	s := &r.samples[i]
	s.Status, s.Verdict, s.Code = 0, "", ""
	request, err := r.buildRequest(ctx, i, base)
	if err != nil {
		s.Code = "client_error"
		return err
	}
	response, err := r.opts.Client.Do(request)
	if err != nil {
		s.Code = failureCode(err)
		return err
	}
	defer response.Body.Close()
	s.Status = response.StatusCode
	s.Verdict = response.Header.Get(verdict.Header)
	switch {
	case s.Status != http.StatusOK && s.isChat() || s.Status >= http.StatusBadRequest:
		s.readError(response.Body)
	case s.isChat():
		s.readStream(response.Body, due, r.trace.Requests[i].OutputTokens)
	default:
		return s.readBody(response.Body)
	}
	return nil
}

// failureCode returns the failure code of a request without a response.
func failureCode(err error) string {
	switch {
	case isDialError(err):
		return "unreachable"
	case errors.Is(err, context.DeadlineExceeded):
		return "timeout"
	default:
		return "connection_lost"
	}
}

// buildRequest returns the HTTP request for row i of the trace.
func (r *replayer) buildRequest(ctx context.Context, i int, base string) (*http.Request, error) {
	row, s := &r.trace.Requests[i], &r.samples[i]
	method, url, body := http.MethodPost, base+"/v1/chat/completions", ""
	if s.isChat() {
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
	request.GetBody = nil // Prevents the transport from resending the body on its own.
	request.Header.Set("Authorization", "Bearer "+r.opts.Keys[s.Workspace])
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Request-Id", r.requestKey(i))
	if row.Priority != "" {
		request.Header.Set("X-Acacialink-Priority", row.Priority)
	}
	if !s.isChat() && method != http.MethodGet {
		request.Header.Set("Idempotency-Key", r.requestKey(i))
	}
	return request, nil
}

// requestKey returns a key for request i that is unique across replays. It serves
// as request ID and idempotency key.
func (r *replayer) requestKey(i int) string {
	return fmt.Sprintf("replay-%x-%d-%d", r.start.UnixNano(), r.trace.Seed, i)
}

func splitRoute(route string) (method, path string) {
	method, path, found := strings.Cut(route, " ")
	if !found {
		return http.MethodGet, route
	}
	return method, path
}

func (r *replayer) chatBody(i int) string {
	row := &r.trace.Requests[i]
	body, _ := json.Marshal(struct {
		Model     string        `json:"model"`
		Stream    bool          `json:"stream"`
		MaxTokens int           `json:"max_tokens"`
		Messages  []chatMessage `json:"messages"`
	}{r.opts.Model, true, row.OutputTokens, []chatMessage{{"user", row.promptText(r.trace.Seed, i)}}}) // Cannot fail: only strings, numbers and booleans.
	return string(body)
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// errorBody is the error in a response body or in a stream event.
type errorBody struct {
	Error struct {
		Code    string `json:"code"`
		Verdict string `json:"verdict"`
	} `json:"error"`
}

func (s *Sample) readError(body io.Reader) {
	text, _ := io.ReadAll(io.LimitReader(body, maxErrorBodyBytes))
	var e errorBody
	if json.Unmarshal(text, &e) == nil {
		s.Code = e.Error.Code
	}
}

// readBody reads the response of a plain service to its end.
func (s *Sample) readBody(body io.Reader) error {
	if _, err := io.Copy(io.Discard, body); err != nil {
		s.Code = "connection_lost"
		return errors.Wrap(err, "read response")
	}
	s.Complete = true
	return nil
}
