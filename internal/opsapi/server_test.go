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

// fixture is the operator API of one host on a stand-in store.
type fixture struct {
	is    *is.I
	ctx   context.Context
	store *kv.Store
	api   http.Handler
	log   bytes.Buffer
}

func newFixture(t *testing.T) *fixture {
	fx := &fixture{is: is.New(t), ctx: t.Context(), store: kv.New(kv.Options{})}
	logger := slog.New(slog.NewJSONHandler(&fx.log, nil))
	replica := snapshot.NewReplica(snapshot.ReplicaOptions{
		Host: "host-1", Domain: "north", Log: snapshot.NewLog(fx.store, logger),
		Directory: func() []snapshot.Peer { return []snapshot.Peer{{Name: "host-1", Domain: "north"}} },
	})
	fx.api = opsapi.New(opsapi.Options{
		Configuration: replica, Host: "host-1", Logger: logger,
		Operators: []opsapi.Operator{{Name: "ada", TokenSHA256: tokenHash}},
	})
	return fx
}

func (fx *fixture) call(method, path, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequestWithContext(fx.ctx, method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer token")
	w := httptest.NewRecorder()
	fx.api.ServeHTTP(w, r)
	return w
}

// expect sends a request, checks the status and decodes the response.
func (fx *fixture) expect(status int, method, path, body string, into any) {
	fx.is.Helper()
	w := fx.call(method, path, body)
	if w.Code != status {
		fx.is.Equal(w.Body.String(), fmt.Sprintf("status %d", status))
	}
	if into != nil {
		fx.is.NoErr(json.Unmarshal(w.Body.Bytes(), into))
	}
}

const (
	workspaceBody = `{"name":"festival","spec":{"rate_tokens":10,"burst_tokens":20}}`
	keyBody       = `{"name":"clerk","spec":{"workspace":"festival"}}`
)

func (fx *fixture) createKey() string {
	fx.is.Helper()
	fx.expect(http.StatusCreated, http.MethodPost, "/v1/resources/workspace", workspaceBody, nil)
	var response opsapi.ChangeResponse
	fx.expect(http.StatusCreated, http.MethodPost, "/v1/resources/key", keyBody, &response)
	return response.Results[0].Secret
}

func TestRequestsRequireOperatorToken(t *testing.T) {
	fx := newFixture(t)
	for _, header := range []string{"", "Bearer", "Bearer tokens", "Basic token"} {
		r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/v1/resources/key", nil)
		r.Header.Set("Authorization", header)
		w := httptest.NewRecorder()
		fx.api.ServeHTTP(w, r)
		fx.is.Equal(w.Code, http.StatusUnauthorized)
	}
}

func TestKeySecretIsReturnedOnceAndStoredHashed(t *testing.T) {
	fx := newFixture(t)
	secret := fx.createKey()
	fx.is.True(len(secret) > 40)
	fx.is.True(!strings.Contains(fx.call(http.MethodGet, "/v1/resources/key/clerk", "").Body.String(), secret))
	objects, _, err := fx.store.List(t.Context(), "")
	fx.is.NoErr(err)
	for _, o := range objects {
		fx.is.True(!bytes.Contains(o.Value, []byte(secret)))
	}
	fx.is.True(!strings.Contains(fx.log.String(), secret))
	fx.is.True(strings.Contains(fx.log.String(), `"operator":"ada"`))
	fx.is.True(strings.Contains(fx.log.String(), "create key/clerk"))
}

func TestRevokedKeyStaysRevoked(t *testing.T) {
	fx := newFixture(t)
	fx.createKey()
	var response opsapi.ChangeResponse
	fx.expect(http.StatusOK, http.MethodDelete, "/v1/resources/key/clerk", "", &response)
	fx.is.Equal(response.Results[0].Action, "revoked")
	var body opsapi.ErrorBody
	fx.expect(http.StatusUnprocessableEntity, http.MethodPost, "/v1/apply", `[{"kind":"key","name":"clerk","spec":{"workspace":"festival"}}]`, &body)
	fx.is.Equal(body.Error.Faults[0].Path, "items[0].spec.revoked")
	var key resource.Resource
	fx.expect(http.StatusOK, http.MethodGet, "/v1/resources/key/clerk", "", &key)
	var spec resource.KeySpec
	fx.is.NoErr(json.Unmarshal(key.Spec, &spec))
	fx.is.True(spec.Revoked)
	reuse := fmt.Sprintf(`{"name":"again","spec":{"workspace":"festival","sha256":%q}}`, spec.SHA256)
	fx.expect(http.StatusUnprocessableEntity, http.MethodPost, "/v1/resources/key", reuse, nil)
}

func TestConflictReportsCurrentRevision(t *testing.T) {
	fx := newFixture(t)
	fx.createKey()
	const path = "/v1/resources/workspace/festival"
	fx.expect(http.StatusOK, http.MethodPut, path+"?revision=1", `{"spec":{"rate_tokens":11,"burst_tokens":20}}`, nil)
	var body opsapi.ErrorBody
	fx.expect(http.StatusConflict, http.MethodPut, path+"?revision=1", `{"spec":{"rate_tokens":12,"burst_tokens":20}}`, &body)
	fx.is.Equal(body.Error.Conflicts, []opsapi.Conflict{{Kind: resource.KindWorkspace, Name: "festival", Expected: 1, Current: 3}})
	fx.expect(http.StatusPreconditionRequired, http.MethodPut, path, `{"spec":{"rate_tokens":12,"burst_tokens":20}}`, nil)
	fx.expect(http.StatusConflict, http.MethodPost, "/v1/resources/workspace", workspaceBody, nil)
	fx.expect(http.StatusNotFound, http.MethodDelete, "/v1/resources/workspace/none", "", nil)
}

func TestApplyIsAtomic(t *testing.T) {
	fx := newFixture(t)
	var body opsapi.ErrorBody
	fx.expect(http.StatusUnprocessableEntity, http.MethodPost, "/v1/apply", `[
		{"kind":"workspace","name":"w","spec":{"rate_tokens":1,"burst_tokens":1,"models":["small"]}},
		{"kind":"pool","name":"p","spec":{"model":"large","domains":["north"],"max":1,"prefill_tokens":1,"decode_tokens":1}}]`, &body)
	var paths []string
	for _, f := range body.Error.Faults {
		paths = append(paths, f.Path)
	}
	fx.is.Equal(paths, []string{"items[0].spec.models[0]", "items[1].spec.model", "items[1].spec.domains[0]"})
	fx.is.Equal(body.Error.Verdict, verdict.NotRun.String())
	var list opsapi.ListResponse
	fx.expect(http.StatusOK, http.MethodGet, "/v1/resources/workspace", "", &list)
	fx.is.Equal(len(list.Items), 0)

	good := `[{"kind":"workspace","name":"w","spec":{"rate_tokens":1,"burst_tokens":1,"models":["small"]}},
		{"kind":"model","name":"small","spec":{"version":"1","max_prompt_tokens":10,"max_output_tokens":10}}]`
	var response opsapi.ChangeResponse
	fx.expect(http.StatusOK, http.MethodPost, "/v1/apply", good, &response)
	fx.is.Equal(response.Revision, resource.Revision(1))
	fx.expect(http.StatusOK, http.MethodPost, "/v1/apply", good, &response)
	fx.is.Equal(response.Results[0].Action, "unchanged")
	fx.is.Equal(response.Revision, resource.Revision(1))
	fx.expect(http.StatusUnprocessableEntity, http.MethodDelete, "/v1/resources/model/small", "", &body)
	fx.is.True(strings.Contains(body.Error.Faults[0].Message, `used by workspace "w"`))
}

func TestLostStoreResponseIsAppliedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t)
		fx.store.LoseNext(1)
		fx.expect(http.StatusCreated, http.MethodPost, "/v1/resources/workspace", workspaceBody, nil)
		var list opsapi.ListResponse
		fx.expect(http.StatusOK, http.MethodGet, "/v1/resources/workspace", "", &list)
		fx.is.Equal(list.Revision, resource.Revision(1))
	})
}

func TestStoreOutageVerdicts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t)
		fx.store.SetDown(true)
		w := fx.call(http.MethodPost, "/v1/resources/workspace", workspaceBody)
		fx.is.Equal(w.Code, http.StatusServiceUnavailable)
		fx.is.Equal(w.Header().Get(verdict.Header), "not-run")
		fx.is.True(w.Header().Get("Retry-After") != "")

		fx.store.SetDown(false)
		fx.store.LoseNext(1)
		fx.store.SetDelay(time.Second) // The write takes effect, its response is lost, and then the store becomes unavailable.
		time.AfterFunc(2800*time.Millisecond, func() { fx.store.SetDown(true) })
		w = fx.call(http.MethodPost, "/v1/resources/workspace", workspaceBody)
		fx.is.Equal(w.Code, http.StatusServiceUnavailable)
		fx.is.Equal(w.Header().Get(verdict.Header), "may-have-run")
	})
}

func TestWatchResumesFromRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t)
		fx.createKey()
		var response opsapi.WatchResponse
		fx.expect(http.StatusOK, http.MethodGet, "/v1/watch?after=0&kind=key", "", &response)
		fx.is.Equal(len(response.Changes), 1)
		fx.is.Equal(response.Revision, resource.Revision(2))
		time.AfterFunc(time.Second, func() {
			fx.call(http.MethodPost, "/v1/resources/workspace", `{"name":"other","spec":{"rate_tokens":10,"burst_tokens":20}}`)
		})
		fx.expect(http.StatusOK, http.MethodGet, "/v1/watch?after=2&wait=10s", "", &response)
		fx.is.Equal(response.Changes[0].Items[0].Name, "other")
		fx.expect(http.StatusOK, http.MethodGet, "/v1/watch?after=3&wait=1s", "", &response)
		fx.is.Equal(len(response.Changes), 0)
	})
}

func TestWatchFromCompactedRevisionReturnsGone(t *testing.T) {
	fx := newFixture(t)
	for i := range 100 {
		models := strings.Repeat("m", 5000)
		body := fmt.Sprintf(`{"name":"m%d","spec":{"version":%q,"max_prompt_tokens":1,"max_output_tokens":1}}`, i, models)
		fx.expect(http.StatusCreated, http.MethodPost, "/v1/resources/model", body, nil)
	}
	fx.expect(http.StatusGone, http.MethodGet, "/v1/watch?after=0", "", nil)
}

func TestReplaceVotersRejectsNonVoter(t *testing.T) {
	fx := newFixture(t)
	var body opsapi.ErrorBody
	fx.expect(http.StatusUnprocessableEntity, http.MethodPost, "/v1/voters", `{"gone":["host-9"]}`, &body)
	fx.is.Equal(body.Error.Code, "no_voter")
	fx.is.True(strings.Contains(fx.log.String(), "remove voter host-9"))
}
