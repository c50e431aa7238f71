package observe

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

const secret = "sk-Very-Secret"

func TestLoggerRedactsCredentials(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log := NewLogger(&out, slog.LevelInfo, Identity{"e1", "entry", "north"})
	log.Info("request refused: Bearer in message text",
		"Authorization", "Bearer "+secret, "key", secret, FieldRequestID, "0123456789",
		FieldError, errors.Errorf("call failed: Authorization: Bearer %s", secret),
		"path", "/orders?api_key="+secret+"&n=2", FieldDuration, 1500*time.Microsecond,
		slog.Group("headers", "X-Api-Key", secret))
	is.True(!strings.Contains(out.String(), secret))
	var line map[string]any
	is.NoErr(json.Unmarshal(out.Bytes(), &line))
	is.Equal(line[FieldProcess], "e1")
	is.Equal(line[FieldRequestID], "0123456789")
	is.Equal(line[FieldDuration], 1.5)
	is.Equal(line["path"], "/orders?api_key="+Redacted+"&n=2")
}

func TestCallerRequestID(t *testing.T) {
	is := is.New(t)
	is.Equal(CallerRequestID("order-2026.12_04"), "order-2026.12_04")
	for _, bad := range []string{"", "short", strings.Repeat("a", 65), "line\nbreak-x", "quote\"quote\"", "spaced out id"} {
		is.Equal(CallerRequestID(bad), "")
	}
	is.Equal(len(NewRequestID()), 32)
	first, second := NewRequestID(), NewRequestID()
	is.True(first != second)
}

func TestHistogramSeparatesTotalAndRecent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHistogram()
		for i := 1; i <= 1000; i++ {
			h.Record(time.Duration(i) * time.Millisecond)
		}
		near := func(got, want float64) bool { return got > want*0.98 && got < want*1.02 }
		is.Equal(h.Snapshot().Total.Count, int64(1000))
		is.True(near(h.Snapshot().Total.P95, 950))
		is.True(near(h.Snapshot().Recent.P50, 500))
		time.Sleep(recentWindowLength)
		h.Record(2 * time.Hour)
		is.Equal(h.Snapshot().Recent.Count, int64(1001))
		time.Sleep(recentWindowLength)
		is.Equal(h.Snapshot().Recent.Count, int64(1))
		time.Sleep(5 * recentWindowLength)
		is.Equal(h.Snapshot().Recent.Count, int64(0))
		is.Equal(h.Snapshot().Total.Count, int64(1001))
		is.Equal(h.Snapshot().Total.Max, float64(2*time.Hour/time.Millisecond))
	})
}

func TestLabelledCounterBoundsLabelCount(t *testing.T) {
	is := is.New(t)
	l := newLabelledCounter(10)
	for i := range 1000 {
		l.Add(fmt.Sprint("workspace-", i), 1)
	}
	is.Equal(len(l.counts), 11)
	is.Equal(l.Get(OtherLabel), int64(990))
}

func newOperatorServer(t *testing.T) (*Registry, string) {
	sum := sha256.Sum256([]byte(secret))
	a, err := NewAuthenticator([]Operator{{"ada", hex.EncodeToString(sum[:])}})
	if err != nil {
		t.Fatal(err)
	}
	r := NewRegistry(Identity{"e1", "entry", "north"})
	root, operators := NewOperatorMux(r, a, ReadyFunc(func() (bool, string) { return false, "draining" }))
	operators.HandleFunc("/who", func(w http.ResponseWriter, r *http.Request) {
		_, _ = fmt.Fprint(w, OperatorName(r.Context()))
	})
	server := httptest.NewServer(root)
	t.Cleanup(server.Close)
	return r, strings.TrimPrefix(server.URL, "http://")
}

func get(t *testing.T, address, path, token string) (int, string) {
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var body bytes.Buffer
	_, _ = body.ReadFrom(response.Body)
	return response.StatusCode, body.String()
}

func TestOperatorMuxRequiresToken(t *testing.T) {
	is := is.New(t)
	r, address := newOperatorServer(t)
	r.NewCounter("requests").Add(7)
	for _, path := range []string{"/debug/vars", "/debug/state", "/debug/pprof/", "/debug/pprof/heap", "/who"} {
		for _, token := range []string{"", "wrong", secret + "x"} {
			status, _ := get(t, address, path, token)
			is.Equal(status, http.StatusUnauthorized)
		}
		status, _ := get(t, address, path, secret)
		is.Equal(status, http.StatusOK)
	}
	status, body := get(t, address, "/readyz", "")
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(body, "not ready: draining\n")
	status, _ = get(t, address, "/healthz", "")
	is.Equal(status, http.StatusOK)
	_, body = get(t, address, "/who", secret)
	is.Equal(body, "ada")
	_, body = get(t, address, "/debug/vars", secret)
	var vars map[string]any
	is.NoErr(json.Unmarshal([]byte(body), &vars))
	is.Equal(vars["requests"], 7.0)
	is.Equal(vars["cmdline"], nil)
}

func TestDumpRedactsSecretsAndReportsFailedParts(t *testing.T) {
	is := is.New(t)
	r, address := newOperatorServer(t)
	block := make(chan struct{})
	defer close(block)
	r.RegisterState("keys_held", func() any {
		return map[string]any{"sha256": secret, "keys": 5, "note": "sent Bearer " + secret, "list": []any{map[string]any{"token": secret}}}
	})
	r.RegisterState("broken", func() any { panic("no state") })
	r.RegisterState("stuck", func() any { <-block; return nil })
	var out bytes.Buffer
	is.NoErr(Dump(context.Background(), address, secret, "", &out))
	is.True(!strings.Contains(out.String(), secret))
	var dump stateDump
	is.NoErr(json.Unmarshal(out.Bytes(), &dump))
	is.Equal(dump.Process, "e1")
	is.Equal(dump.State["keys_held"].(map[string]any)["keys"], 5.0)
	is.Equal(dump.State["broken"].(map[string]any)["failure"], "panic: no state")
	is.Equal(dump.State["stuck"].(map[string]any)["failure"], "timeout")
	is.Equal(r.State("stuck")["stuck"], stateFailure{"an earlier read is still running"})
	is.True(errors.Is(Dump(context.Background(), address, "wrong", "", &out), ErrNotOperator))
	is.True(errors.Is(Dump(context.Background(), "127.0.0.1:1", secret, "", &out), ErrUnreachable))
}

func BenchmarkHistogramRecord(b *testing.B) {
	h := newHistogram()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			h.Record(37 * time.Millisecond)
		}
	})
}

func BenchmarkHistogramRecordSerial(b *testing.B) {
	h := newHistogram()
	for b.Loop() {
		h.Record(37 * time.Millisecond)
	}
}

func BenchmarkLog(b *testing.B) {
	log := NewLogger(discardWriter{}, slog.LevelInfo, Identity{"e1", "entry", "north"})
	for b.Loop() {
		log.Info("request ended", FieldRequestID, "0123456789abcdef0123456789abcdef", FieldWorkspace, "residents", FieldStatus, 200, FieldDuration, time.Second)
	}
}

type discardWriter struct{}

func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }
