package opsapi_test

import (
	"bytes"
	"context"
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

	"github.com/acacialink/acacialink/internal/opsapi"
	"github.com/acacialink/acacialink/internal/resource"
	"github.com/acacialink/acacialink/internal/snapshot"
	"github.com/acacialink/acacialink/internal/standin/kv"
	"github.com/acacialink/acacialink/internal/verdict"
)

// tokenHash is the SHA-256 of "token".
const tokenHash = "3c469e9d6c5875d37a43f353d4f88e61fcf812c66eee3457465a40b0da4153e0"

// bench is one host's interface on a stand-in store.
type bench struct {
	is    *is.I
	ctx   context.Context
	store *kv.Store
	api   http.Handler
	log   bytes.Buffer
}

func newBench(t *testing.T) *bench {
	b := &bench{is: is.New(t), ctx: t.Context(), store: kv.New(kv.Options{})}
	logger := slog.New(slog.NewJSONHandler(&b.log, nil))
	holder := snapshot.NewHolder(snapshot.HolderOptions{
		Host: "host-1", Domain: "north", Log: snapshot.NewLog(b.store, logger),
		Directory: func() []snapshot.Peer { return []snapshot.Peer{{Name: "host-1", Domain: "north"}} },
	})
	b.api = opsapi.New(opsapi.Options{
		Configuration: holder, Host: "host-1", Logger: logger,
		Operators: []opsapi.Operator{{Name: "ada", TokenSHA256: tokenHash}},
	})
	return b
}

func (b *bench) call(method, path, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequestWithContext(b.ctx, method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer token")
	w := httptest.NewRecorder()
	b.api.ServeHTTP(w, r)
	return w
}

// expect calls, checks the status and decodes the answer.
func (b *bench) expect(status int, method, path, body string, into any) {
	b.is.Helper()
	w := b.call(method, path, body)
	if w.Code != status {
		b.is.Equal(w.Body.String(), fmt.Sprintf("status %d", status))
	}
	if into != nil {
		b.is.NoErr(json.Unmarshal(w.Body.Bytes(), into))
	}
}

const (
	workspaceBody = `{"name":"festival","spec":{"rate_tokens":10,"burst_tokens":20}}`
	keyBody       = `{"name":"clerk","spec":{"workspace":"festival"}}`
)

func (b *bench) createKey() string {
	b.is.Helper()
	b.expect(http.StatusCreated, http.MethodPost, "/v1/resources/workspace", workspaceBody, nil)
	var answer opsapi.ChangeAnswer
	b.expect(http.StatusCreated, http.MethodPost, "/v1/resources/key", keyBody, &answer)
	return answer.Results[0].Secret
}

func TestOnlyOperatorsPass(t *testing.T) {
	b := newBench(t)
	for _, header := range []string{"", "Bearer", "Bearer tokens", "Basic token"} {
		r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/v1/resources/key", nil)
		r.Header.Set("Authorization", header)
		w := httptest.NewRecorder()
		b.api.ServeHTTP(w, r)
		b.is.Equal(w.Code, http.StatusUnauthorized)
	}
}

func TestKeyIsShownOnceAndKeptHashed(t *testing.T) {
	b := newBench(t)
	secret := b.createKey()
	b.is.True(len(secret) > 40)
	b.is.True(!strings.Contains(b.call(http.MethodGet, "/v1/resources/key/clerk", "").Body.String(), secret))
	objects, _, err := b.store.List(t.Context(), "")
	b.is.NoErr(err)
	for _, o := range objects {
		b.is.True(!bytes.Contains(o.Value, []byte(secret)))
	}
	b.is.True(!strings.Contains(b.log.String(), secret))
	b.is.True(strings.Contains(b.log.String(), `"operator":"ada"`))
	b.is.True(strings.Contains(b.log.String(), "create key/clerk"))
}

func TestRevokedKeyStaysRevoked(t *testing.T) {
	b := newBench(t)
	b.createKey()
	var answer opsapi.ChangeAnswer
	b.expect(http.StatusOK, http.MethodDelete, "/v1/resources/key/clerk", "", &answer)
	b.is.Equal(answer.Results[0].Action, "revoked")
	var body opsapi.ErrorBody
	b.expect(http.StatusUnprocessableEntity, http.MethodPost, "/v1/apply", `[{"kind":"key","name":"clerk","spec":{"workspace":"festival"}}]`, &body)
	b.is.Equal(body.Error.Faults[0].Path, "items[0].spec.revoked")
	var key resource.Resource
	b.expect(http.StatusOK, http.MethodGet, "/v1/resources/key/clerk", "", &key)
	var spec resource.KeySpec
	b.is.NoErr(json.Unmarshal(key.Spec, &spec))
	b.is.True(spec.Revoked)
	reuse := fmt.Sprintf(`{"name":"again","spec":{"workspace":"festival","sha256":%q}}`, spec.SHA256)
	b.expect(http.StatusUnprocessableEntity, http.MethodPost, "/v1/resources/key", reuse, nil)
}

func TestConflictSaysCurrentRevision(t *testing.T) {
	b := newBench(t)
	b.createKey()
	const path = "/v1/resources/workspace/festival"
	b.expect(http.StatusOK, http.MethodPut, path+"?revision=1", `{"spec":{"rate_tokens":11,"burst_tokens":20}}`, nil)
	var body opsapi.ErrorBody
	b.expect(http.StatusConflict, http.MethodPut, path+"?revision=1", `{"spec":{"rate_tokens":12,"burst_tokens":20}}`, &body)
	b.is.Equal(body.Error.Conflicts, []opsapi.Conflict{{Kind: resource.KindWorkspace, Name: "festival", Expected: 1, Current: 3}})
	b.expect(http.StatusPreconditionRequired, http.MethodPut, path, `{"spec":{"rate_tokens":12,"burst_tokens":20}}`, nil)
	b.expect(http.StatusConflict, http.MethodPost, "/v1/resources/workspace", workspaceBody, nil)
	b.expect(http.StatusNotFound, http.MethodDelete, "/v1/resources/workspace/none", "", nil)
}

func TestApplyIsAcceptedOrRefusedAsOne(t *testing.T) {
	b := newBench(t)
	var body opsapi.ErrorBody
	b.expect(http.StatusUnprocessableEntity, http.MethodPost, "/v1/apply", `[
		{"kind":"workspace","name":"w","spec":{"rate_tokens":1,"burst_tokens":1,"models":["small"]}},
		{"kind":"pool","name":"p","spec":{"model":"large","domains":["north"],"max":1,"prefill_tokens":1,"decode_tokens":1}}]`, &body)
	var paths []string
	for _, f := range body.Error.Faults {
		paths = append(paths, f.Path)
	}
	b.is.Equal(paths, []string{"items[0].spec.models[0]", "items[1].spec.model", "items[1].spec.domains[0]"})
	b.is.Equal(body.Error.Verdict, verdict.NotRun.String())
	var list opsapi.ListAnswer
	b.expect(http.StatusOK, http.MethodGet, "/v1/resources/workspace", "", &list)
	b.is.Equal(len(list.Items), 0)

	good := `[{"kind":"workspace","name":"w","spec":{"rate_tokens":1,"burst_tokens":1,"models":["small"]}},
		{"kind":"model","name":"small","spec":{"version":"1","max_prompt_tokens":10,"max_output_tokens":10}}]`
	var answer opsapi.ChangeAnswer
	b.expect(http.StatusOK, http.MethodPost, "/v1/apply", good, &answer)
	b.is.Equal(answer.Revision, resource.Revision(1))
	b.expect(http.StatusOK, http.MethodPost, "/v1/apply", good, &answer)
	b.is.Equal(answer.Results[0].Action, "unchanged")
	b.is.Equal(answer.Revision, resource.Revision(1))
	b.expect(http.StatusUnprocessableEntity, http.MethodDelete, "/v1/resources/model/small", "", &body)
	b.is.True(strings.Contains(body.Error.Faults[0].Message, `used by workspace "w"`))
}

func TestLostStoreAnswerIsAcceptedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		b.store.LoseNext(1)
		b.expect(http.StatusCreated, http.MethodPost, "/v1/resources/workspace", workspaceBody, nil)
		var list opsapi.ListAnswer
		b.expect(http.StatusOK, http.MethodGet, "/v1/resources/workspace", "", &list)
		b.is.Equal(list.Revision, resource.Revision(1))
	})
}

func TestStoreOutageTellsWhetherAnythingChanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		b.store.SetDown(true)
		w := b.call(http.MethodPost, "/v1/resources/workspace", workspaceBody)
		b.is.Equal(w.Code, http.StatusServiceUnavailable)
		b.is.Equal(w.Header().Get(verdict.Header), "not-run")
		b.is.True(w.Header().Get("Retry-After") != "")

		b.store.SetDown(false)
		b.store.LoseNext(1)
		b.store.SetDelay(time.Second) // The write takes effect; its answer is lost, and then the store is gone.
		time.AfterFunc(2800*time.Millisecond, func() { b.store.SetDown(true) })
		w = b.call(http.MethodPost, "/v1/resources/workspace", workspaceBody)
		b.is.Equal(w.Code, http.StatusServiceUnavailable)
		b.is.Equal(w.Header().Get(verdict.Header), "may-have-run")
	})
}

func TestWatchGoesOnFromRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		b.createKey()
		var answer opsapi.WatchAnswer
		b.expect(http.StatusOK, http.MethodGet, "/v1/watch?after=0&kind=key", "", &answer)
		b.is.Equal(len(answer.Changes), 1)
		b.is.Equal(answer.Revision, resource.Revision(2))
		time.AfterFunc(time.Second, func() {
			b.call(http.MethodPost, "/v1/resources/workspace", `{"name":"other","spec":{"rate_tokens":10,"burst_tokens":20}}`)
		})
		b.expect(http.StatusOK, http.MethodGet, "/v1/watch?after=2&wait=10s", "", &answer)
		b.is.Equal(answer.Changes[0].Items[0].Name, "other")
		b.expect(http.StatusOK, http.MethodGet, "/v1/watch?after=3&wait=1s", "", &answer)
		b.is.Equal(len(answer.Changes), 0)
	})
}

func TestWatchFromForgottenRevisionIsGone(t *testing.T) {
	b := newBench(t)
	for i := range 100 {
		models := strings.Repeat("m", 5000)
		body := fmt.Sprintf(`{"name":"m%d","spec":{"version":%q,"max_prompt_tokens":1,"max_output_tokens":1}}`, i, models)
		b.expect(http.StatusCreated, http.MethodPost, "/v1/resources/model", body, nil)
	}
	b.expect(http.StatusGone, http.MethodGet, "/v1/watch?after=0", "", nil)
}

func TestHostThatIsNoVoterIsNotReplaced(t *testing.T) {
	b := newBench(t)
	var body opsapi.ErrorBody
	b.expect(http.StatusUnprocessableEntity, http.MethodPost, "/v1/voters", `{"gone":["host-9"]}`, &body)
	b.is.Equal(body.Error.Code, "no_voter")
	b.is.True(strings.Contains(b.log.String(), "remove voter host-9"))
}
