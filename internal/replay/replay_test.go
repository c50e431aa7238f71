package replay

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// fakeTransport is an HTTP transport that answers requests in-process, in the
// virtual time of the test.
type fakeTransport struct {
	mu       sync.Mutex
	requests []*http.Request
	respond  func(n int, r *http.Request) (*http.Response, error)
}

func (f *fakeTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	f.mu.Lock()
	n := len(f.requests)
	f.requests = append(f.requests, r)
	f.mu.Unlock()
	return f.respond(n, r)
}

func newResponse(status int, verdict string, body io.ReadCloser) *http.Response {
	return &http.Response{StatusCode: status, Body: body, Header: http.Header{"Acacialink-Verdict": {verdict}}}
}

func textBody(s string) io.ReadCloser { return io.NopCloser(strings.NewReader(s)) }

func refusalResponse(status int, code string) *http.Response {
	return newResponse(status, "not-run", textBody(fmt.Sprintf(`{"error":{"code":%q,"verdict":"not-run"}}`, code)))
}

// streamResponse streams one token after each of the waits, followed by end.
func streamResponse(waits []time.Duration, end string) *http.Response {
	reader, writer := io.Pipe()
	go func() {
		for _, w := range waits {
			time.Sleep(w)
			_, _ = io.WriteString(writer, `data: {"choices":[{"delta":{"content":"abc "}}]}`+"\n\n")
		}
		_, _ = io.WriteString(writer, end)
		_ = writer.Close()
	}()
	return newResponse(http.StatusOK, "ran", reader)
}

const streamEnd = "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"length\"}]}\n\ndata: [DONE]\n\n"

func repeatGap(n int, gap time.Duration) []time.Duration {
	waits := make([]time.Duration, n)
	for i := range waits {
		waits[i] = gap
	}
	return waits
}

func chatTrace(n int, gap time.Duration, tokens int) *Trace {
	t := &Trace{Name: "test", Model: "m"}
	for i := range n {
		t.Requests = append(t.Requests, Request{Offset: time.Duration(i) * gap, PromptTokens: 10, OutputTokens: tokens, Workspace: "w", Priority: classInteractive})
	}
	return t
}

func runTrace(t *testing.T, trace *Trace, transport *fakeTransport, change func(*Options)) *Result {
	t.Helper()
	o := Options{Entries: []string{"http://e1", "http://e2"}, Keys: map[string]string{"w": "key"}, Client: &http.Client{Transport: transport}}
	if change != nil {
		change(&o)
	}
	r, err := Run(t.Context(), trace, o)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestRunMeasuresFromScheduledTime uses a server that handles one request at a
// time, at half the arrival rate. A closed loop would measure 100 ms for each
// request.
func TestRunMeasuresFromScheduledTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		slot := make(chan struct{}, 1)
		transport := &fakeTransport{respond: func(int, *http.Request) (*http.Response, error) {
			slot <- struct{}{}
			time.Sleep(100 * time.Millisecond)
			<-slot
			return streamResponse(repeatGap(2, 0), streamEnd), nil
		}}
		r := runTrace(t, chatTrace(40, 50*time.Millisecond, 2), transport, nil)
		is.Equal(r.Chats.Complete, 40)
		is.True(r.Chats.FirstToken.Max > 1900) // The last request was scheduled at 1.95 s and served at 4 s.
		is.True(r.Chats.Goodput < 0.3)
		is.True(r.ClientLag.Max < 1)
		is.True(r.Timeline[0].Goodput > r.Timeline[len(r.Timeline)-1].Goodput)
	})
}

func TestRunScalesArrivalsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		transport := &fakeTransport{respond: func(int, *http.Request) (*http.Response, error) {
			return streamResponse(repeatGap(3, 40*time.Millisecond), streamEnd), nil
		}}
		r := runTrace(t, chatTrace(11, time.Second, 3), transport, func(o *Options) { o.Speed = 10 })
		is.True(r.Seconds > 1.1 && r.Seconds < 1.2)
		is.Equal(r.Chats.Good, 11)
		is.True(r.Chats.BetweenTokens.P95 > 39 && r.Chats.BetweenTokens.P95 < 41)
	})
}

// TestRunEvaluatesResponses checks which responses count as good, and the failure
// code of the others.
func TestRunEvaluatesResponses(t *testing.T) {
	gap := 40 * time.Millisecond
	slowOnce := append(repeatGap(20, gap), 200*time.Millisecond)
	for _, c := range []struct {
		name     string
		response func() *http.Response
		tokens   int
		code     string
		good     bool
	}{
		{"in time", func() *http.Response { return streamResponse(repeatGap(20, gap), streamEnd) }, 20, "", true},
		{"one slow gap of 20", func() *http.Response { return streamResponse(slowOnce, streamEnd) }, 21, "", true},
		{"two slow gaps of 21", func() *http.Response { return streamResponse(append(slowOnce, 200*time.Millisecond), streamEnd) }, 22, "", false},
		{"late first token", func() *http.Response {
			return streamResponse(append([]time.Duration{461 * time.Millisecond}, repeatGap(5, gap)...), streamEnd)
		}, 6, "", false},
		{"no end marker", func() *http.Response { return streamResponse(repeatGap(5, gap), "") }, 5, "truncated", false},
		{"one token too few", func() *http.Response { return streamResponse(repeatGap(4, gap), streamEnd) }, 5, "truncated", false},
		{"one token too many", func() *http.Response { return streamResponse(repeatGap(6, gap), streamEnd) }, 5, "truncated", false},
		{"error event in stream", func() *http.Response {
			return streamResponse(repeatGap(2, gap), `data: {"error":{"code":"engine_lost","verdict":"may-have-run"}}`+"\n\n")
		}, 5, "engine_lost", false},
		{"garbage", func() *http.Response { return streamResponse(repeatGap(2, gap), "data: {{{\n\n") }, 5, "invalid_event", false},
		{"refused", func() *http.Response { return refusalResponse(503, "overloaded") }, 5, "overloaded", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				transport := &fakeTransport{respond: func(int, *http.Request) (*http.Response, error) { return c.response(), nil }}
				r := runTrace(t, chatTrace(1, 0, c.tokens), transport, nil)
				is.Equal(r.Chats.Good == 1, c.good)
				if c.code != "" {
					is.Equal(r.Failures[c.code], 1)
				}
				is.Equal(r.Chats.Complete+r.Chats.Broken+r.Chats.Refused, 1)
			})
		})
	}
}

func TestRunCountsRefusalsWithinRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		transport := &fakeTransport{respond: func(n int, _ *http.Request) (*http.Response, error) {
			if n%3 == 0 {
				return refusalResponse(429, "rate_limited"), nil
			}
			return streamResponse(repeatGap(10, 0), streamEnd), nil
		}}
		// 20 tokens each: the burst allows 5 requests and the rate 1 per second.
		r := runTrace(t, chatTrace(20, 500*time.Millisecond, 10), transport, func(o *Options) {
			o.Rates = map[string]Rate{"w": {Tokens: 20, Burst: 100}}
		})
		is.Equal(r.Chats.Sent, 20)
		is.Equal(r.Chats.WithinRate, 14) // The burst of 5, and 9 more over 9.5 s.
		is.Equal(r.Chats.Refused, 7)
		is.Equal(r.Chats.RefusedWithin, 0) // Not counted over the rate: which requests to refuse is undefined.
		is.Equal(r.Chats.Goodput, float64(r.Chats.Good)/14)
		is.Equal(r.Workspaces["w"].OverRate, true)
		is.Equal(r.Workspaces["w"].RateServed, 13.0/14)
		is.Equal(r.Worst, WorstWorkspace{})

		transport.requests = nil
		r = runTrace(t, chatTrace(20, 500*time.Millisecond, 10), transport, func(o *Options) {
			o.Rates = map[string]Rate{"w": {Tokens: 40, Burst: 100}}
		})
		is.Equal(r.Chats.WithinRate, 20)
		is.Equal(r.Chats.RefusedWithin, 7)
		is.Equal(r.Worst, WorstWorkspace{"w", 13.0 / 20})
	})
}

// TestRunAvoidsUnreachableEntry makes one of two entry hosts unreachable. No
// request may be lost, and the host may be tried only once per second.
func TestRunAvoidsUnreachableEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		transport := &fakeTransport{respond: func(_ int, r *http.Request) (*http.Response, error) {
			if r.URL.Host == "e2" {
				return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
			}
			return streamResponse(repeatGap(2, 0), streamEnd), nil
		}}
		r := runTrace(t, chatTrace(30, 100*time.Millisecond, 2), transport, nil)
		is.Equal(r.Chats.Good, 30)
		is.True(len(transport.requests) > 30 && len(transport.requests) <= 34) // One attempt per second.
	})
}

// TestRunRetriesServiceCallWithSameIdempotencyKey loses the first response, refuses
// the second attempt and answers the third.
func TestRunRetriesServiceCallWithSameIdempotencyKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		transport := &fakeTransport{respond: func(n int, _ *http.Request) (*http.Response, error) {
			switch n {
			case 0:
				return nil, errors.New("connection reset")
			case 1:
				return refusalResponse(503, "store_down"), nil
			default:
				return newResponse(201, "ran", textBody("taken")), nil
			}
		}}
		trace := &Trace{Name: "test", Requests: []Request{{Route: "POST /deposits", Workspace: "w"}}}
		r := runTrace(t, trace, transport, nil)
		is.Equal(r.Routes["POST /deposits"].Good, 1)
		is.Equal(len(transport.requests), 3)
		key := transport.requests[0].Header.Get("Idempotency-Key")
		is.True(key != "")
		for _, request := range transport.requests {
			is.Equal(request.Header.Get("Idempotency-Key"), key)
			is.True(request.GetBody == nil)
		}
	})
}

func TestRunCountsClientLimitAsFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		transport := &fakeTransport{respond: func(int, *http.Request) (*http.Response, error) {
			return streamResponse(repeatGap(1, 10*time.Second), streamEnd), nil
		}}
		r := runTrace(t, chatTrace(10, time.Millisecond, 1), transport, func(o *Options) { o.MaxInFlight = 4 })
		is.Equal(r.Failures["client_limit"], 6)
		is.Equal(r.Chats.Failed, 6)
	})
}

func TestRunEventsAndInterruption(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		trace := chatTrace(10, time.Second, 1)
		trace.Events = []Event{{2 * time.Second, "lose-entry", "1"}, {4 * time.Second, "return-entry", "1"}}
		var applied []string
		start := time.Now()
		transport := &fakeTransport{respond: func(int, *http.Request) (*http.Response, error) {
			return streamResponse(repeatGap(1, 0), streamEnd), nil
		}}
		r := runTrace(t, trace, transport, func(o *Options) {
			o.OnEvent = func(_ context.Context, e Event) error {
				applied = append(applied, fmt.Sprint(e.Action, time.Since(start)))
				if e.Action == "return-entry" {
					return errors.New("no such host")
				}
				return nil
			}
		})
		is.Equal(applied, []string{"lose-entry2s", "return-entry4s"})
		is.Equal(len(r.EventErrors), 1)
		minimum := 0.5
		is.True(!r.CheckOutcomes([]Outcome{{Metric: "chats.goodput", Min: &minimum}})) // An event was not applied.

		ctx, stop := context.WithTimeout(t.Context(), 3500*time.Millisecond)
		defer stop()
		r, err := Run(ctx, chatTrace(10, time.Second, 1), Options{Entries: []string{"http://e1"}, Keys: map[string]string{"w": "k"}, Client: &http.Client{Transport: transport}})
		is.NoErr(err)
		is.True(r.Interrupted)
		is.Equal(r.Chats.Sent, 4)
		is.True(!r.CheckOutcomes([]Outcome{{Metric: "chats.goodput", Min: &minimum}}))
	})
}

func TestParseAndCheckOutcomes(t *testing.T) {
	is := is.New(t)
	outcomes, err := ParseOutcomes([]byte(`{"outcomes": [
		// Stated before the run.
		{"metric": "chats.goodput", "min": 0.9},
		{"metric": "workspaces.w.first_token.p95", "max": 460},
	]}`))
	is.NoErr(err)
	r := &Result{Chats: Group{Goodput: 0.9}, Workspaces: GroupByKey{"w": {FirstToken: Percentiles{P95: 460}}}}
	is.True(r.CheckOutcomes(outcomes))
	r.Chats.Goodput = 0.89
	is.True(!r.CheckOutcomes(outcomes))
	is.True(!r.Checks[0].Holds && r.Checks[1].Holds)
	r.Chats.Goodput = 1
	delete(r.Workspaces, "w")
	is.True(!r.CheckOutcomes(outcomes)) // An outcome for a missing metric does not hold.
	for _, bad := range []string{`{}`, `{"outcomes": [{"metric": "x"}]}`, `{"outcomes": [{"min": 1}]}`, `{"outcome": []}`, `{`} {
		_, err := ParseOutcomes([]byte(bad))
		is.True(err != nil)
	}
}
