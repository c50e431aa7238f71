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

// site answers requests within the test, in virtual time.
type site struct {
	mu       sync.Mutex
	requests []*http.Request
	answer   func(n int, r *http.Request) (*http.Response, error)
}

func (s *site) RoundTrip(r *http.Request) (*http.Response, error) {
	s.mu.Lock()
	n := len(s.requests)
	s.requests = append(s.requests, r)
	s.mu.Unlock()
	return s.answer(n, r)
}

func answer(status int, verdict string, body io.ReadCloser) *http.Response {
	return &http.Response{StatusCode: status, Body: body, Header: http.Header{"Acacialink-Verdict": {verdict}}}
}

func text(s string) io.ReadCloser { return io.NopCloser(strings.NewReader(s)) }

func refusal(status int, code string) *http.Response {
	return answer(status, "not-run", text(fmt.Sprintf(`{"error":{"code":%q,"verdict":"not-run"}}`, code)))
}

// stream sends tokens after waits, then an end.
func stream(waits []time.Duration, end string) *http.Response {
	reader, writer := io.Pipe()
	go func() {
		for _, w := range waits {
			time.Sleep(w)
			_, _ = io.WriteString(writer, `data: {"choices":[{"delta":{"content":"abc "}}]}`+"\n\n")
		}
		_, _ = io.WriteString(writer, end)
		_ = writer.Close()
	}()
	return answer(http.StatusOK, "ran", reader)
}

const done = "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"length\"}]}\n\ndata: [DONE]\n\n"

func every(n int, gap time.Duration) []time.Duration {
	waits := make([]time.Duration, n)
	for i := range waits {
		waits[i] = gap
	}
	return waits
}

func chats(n int, gap time.Duration, tokens int) *Trace {
	t := &Trace{Name: "test", Model: "m"}
	for i := range n {
		t.Requests = append(t.Requests, Request{At: time.Duration(i) * gap, Context: 10, Generated: tokens, Workspace: "w", Priority: classInteractive})
	}
	return t
}

func run(t *testing.T, trace *Trace, s *site, change func(*Options)) *Result {
	t.Helper()
	o := Options{Entries: []string{"http://e1", "http://e2"}, Keys: map[string]string{"w": "key"}, Client: &http.Client{Transport: s}}
	if change != nil {
		change(&o)
	}
	r, err := Run(t.Context(), trace, o)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestTimesCountFromTheDueMoment lets a site answer one request at a time, at
// half the rate of arrival. A closed loop would see 100 ms for each.
func TestTimesCountFromTheDueMoment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		slot := make(chan struct{}, 1)
		s := &site{answer: func(int, *http.Request) (*http.Response, error) {
			slot <- struct{}{}
			time.Sleep(100 * time.Millisecond)
			<-slot
			return stream(every(2, 0), done), nil
		}}
		r := run(t, chats(40, 50*time.Millisecond, 2), s, nil)
		is.Equal(r.Chats.Whole, 40)
		is.True(r.Chats.First.Max > 1900) // The last was due at 1.95 s and served at 4 s.
		is.True(r.Chats.Goodput < 0.3)
		is.True(r.Lag.Max < 1)
		is.True(r.Timeline[0].Goodput > r.Timeline[len(r.Timeline)-1].Goodput)
	})
}

func TestScaleShortensArrivalsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &site{answer: func(int, *http.Request) (*http.Response, error) {
			return stream(every(3, 40*time.Millisecond), done), nil
		}}
		r := run(t, chats(11, time.Second, 3), s, func(o *Options) { o.Scale = 10 })
		is.True(r.Seconds > 1.1 && r.Seconds < 1.2)
		is.Equal(r.Chats.Good, 11)
		is.True(r.Chats.Between.P95 > 39 && r.Chats.Between.P95 < 41)
	})
}

// TestBadAnswersAreNotGood gives one answer of each kind.
func TestBadAnswersAreNotGood(t *testing.T) {
	gap := 40 * time.Millisecond
	slowOnce := append(every(20, gap), 200*time.Millisecond)
	for _, c := range []struct {
		name     string
		response func() *http.Response
		tokens   int
		code     string
		good     bool
	}{
		{"in time", func() *http.Response { return stream(every(20, gap), done) }, 20, "", true},
		{"one slow gap of 20", func() *http.Response { return stream(slowOnce, done) }, 21, "", true},
		{"two slow gaps of 21", func() *http.Response { return stream(append(slowOnce, 200*time.Millisecond), done) }, 22, "", false},
		{"late first token", func() *http.Response {
			return stream(append([]time.Duration{461 * time.Millisecond}, every(5, gap)...), done)
		}, 6, "", false},
		{"no end marker", func() *http.Response { return stream(every(5, gap), "") }, 5, "truncated", false},
		{"a token too few", func() *http.Response { return stream(every(4, gap), done) }, 5, "truncated", false},
		{"a token too many", func() *http.Response { return stream(every(6, gap), done) }, 5, "truncated", false},
		{"error within", func() *http.Response {
			return stream(every(2, gap), `data: {"error":{"code":"engine_lost","verdict":"may-have-run"}}`+"\n\n")
		}, 5, "engine_lost", false},
		{"garbage", func() *http.Response { return stream(every(2, gap), "data: {{{\n\n") }, 5, "invalid_event", false},
		{"refused", func() *http.Response { return refusal(503, "overloaded") }, 5, "overloaded", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &site{answer: func(int, *http.Request) (*http.Response, error) { return c.response(), nil }}
				r := run(t, chats(1, 0, c.tokens), s, nil)
				is.Equal(r.Chats.Good == 1, c.good)
				if c.code != "" {
					is.Equal(r.Failures[c.code], 1)
				}
				is.Equal(r.Chats.Whole+r.Chats.Broken+r.Chats.Refused, 1)
			})
		})
	}
}

func TestRefusalsWithinTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &site{answer: func(n int, _ *http.Request) (*http.Response, error) {
			if n%3 == 0 {
				return refusal(429, "rate_limited"), nil
			}
			return stream(every(10, 0), done), nil
		}}
		// 20 tokens each; the burst holds 5 and the rate brings 1 a second.
		r := run(t, chats(20, 500*time.Millisecond, 10), s, func(o *Options) {
			o.Rates = map[string]Rate{"w": {Tokens: 20, Burst: 100}}
		})
		is.Equal(r.Chats.Sent, 20)
		is.Equal(r.Chats.Within, 14) // 5 and 9 more over 9.5 s.
		is.Equal(r.Chats.Refused, 7)
		is.Equal(r.Chats.RefusedWithin, 0) // Which ones to refuse is open.
		is.Equal(r.Chats.Goodput, float64(r.Chats.Good)/14)
		is.Equal(r.Workspaces["w"].OverRate, true)
		is.Equal(r.Workspaces["w"].RateServed, 13.0/14)
		is.Equal(r.Worst, Worst{})

		s.requests = nil
		r = run(t, chats(20, 500*time.Millisecond, 10), s, func(o *Options) {
			o.Rates = map[string]Rate{"w": {Tokens: 40, Burst: 100}}
		})
		is.Equal(r.Chats.Within, 20)
		is.Equal(r.Chats.RefusedWithin, 7)
		is.Equal(r.Worst, Worst{"w", 13.0 / 20})
	})
}

// TestUnreachableEntry takes one of two hosts away: no request is lost.
func TestUnreachableEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &site{answer: func(_ int, r *http.Request) (*http.Response, error) {
			if r.URL.Host == "e2" {
				return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
			}
			return stream(every(2, 0), done), nil
		}}
		r := run(t, chats(30, 100*time.Millisecond, 2), s, nil)
		is.Equal(r.Chats.Good, 30)
		is.True(len(s.requests) > 30 && len(s.requests) <= 34) // One try a second.
	})
}

// TestDepositIsRepeatedUnderItsKey loses an answer, then refuses, then answers.
func TestDepositIsRepeatedUnderItsKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &site{answer: func(n int, _ *http.Request) (*http.Response, error) {
			switch n {
			case 0:
				return nil, errors.New("connection reset")
			case 1:
				return refusal(503, "store_down"), nil
			default:
				return answer(201, "ran", text("taken")), nil
			}
		}}
		trace := &Trace{Name: "test", Requests: []Request{{Route: "POST /deposits", Workspace: "w"}}}
		r := run(t, trace, s, nil)
		is.Equal(r.Routes["POST /deposits"].Good, 1)
		is.Equal(len(s.requests), 3)
		key := s.requests[0].Header.Get("Idempotency-Key")
		is.True(key != "")
		for _, request := range s.requests {
			is.Equal(request.Header.Get("Idempotency-Key"), key)
			is.True(request.GetBody == nil)
		}
	})
}

func TestClientLimitCountsAsFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &site{answer: func(int, *http.Request) (*http.Response, error) {
			return stream(every(1, 10*time.Second), done), nil
		}}
		r := run(t, chats(10, time.Millisecond, 1), s, func(o *Options) { o.InFlight = 4 })
		is.Equal(r.Failures["client_limit"], 6)
		is.Equal(r.Chats.Failed, 6)
	})
}

func TestEventsAndInterruption(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		trace := chats(10, time.Second, 1)
		trace.Events = []Event{{2 * time.Second, "lose-entry", "1"}, {4 * time.Second, "return-entry", "1"}}
		var happened []string
		begun := time.Now()
		s := &site{answer: func(int, *http.Request) (*http.Response, error) { return stream(every(1, 0), done), nil }}
		r := run(t, trace, s, func(o *Options) {
			o.OnEvent = func(_ context.Context, e Event) error {
				happened = append(happened, fmt.Sprint(e.Action, time.Since(begun)))
				if e.Action == "return-entry" {
					return errors.New("no such host")
				}
				return nil
			}
		})
		is.Equal(happened, []string{"lose-entry2s", "return-entry4s"})
		is.Equal(len(r.Faults), 1)
		least := 0.5
		is.True(!r.CheckOutcomes([]Outcome{{Metric: "chats.goodput", Min: &least}})) // Its event was not done.

		ctx, stop := context.WithTimeout(t.Context(), 3500*time.Millisecond)
		defer stop()
		r, err := Run(ctx, chats(10, time.Second, 1), Options{Entries: []string{"http://e1"}, Keys: map[string]string{"w": "k"}, Client: &http.Client{Transport: s}})
		is.NoErr(err)
		is.True(r.Interrupted)
		is.Equal(r.Chats.Sent, 4)
		is.True(!r.CheckOutcomes([]Outcome{{Metric: "chats.goodput", Min: &least}}))
	})
}

func TestOutcomes(t *testing.T) {
	is := is.New(t)
	outcomes, err := ParseOutcomes([]byte(`{"outcomes": [
		// Stated before the run.
		{"metric": "chats.goodput", "min": 0.9},
		{"metric": "workspaces.w.first_token.p95", "max": 460},
	]}`))
	is.NoErr(err)
	r := &Result{Chats: Group{Goodput: 0.9}, Workspaces: GroupByKey{"w": {First: Percentiles{P95: 460}}}}
	is.True(r.CheckOutcomes(outcomes))
	r.Chats.Goodput = 0.89
	is.True(!r.CheckOutcomes(outcomes))
	is.True(!r.Checks[0].Holds && r.Checks[1].Holds)
	r.Chats.Goodput = 1
	delete(r.Workspaces, "w")
	is.True(!r.CheckOutcomes(outcomes)) // A figure that is not there holds nothing.
	for _, bad := range []string{`{}`, `{"outcomes": [{"metric": "x"}]}`, `{"outcomes": [{"min": 1}]}`, `{"outcome": []}`, `{`} {
		_, err := ParseOutcomes([]byte(bad))
		is.True(err != nil)
	}
}
