package suspectapi

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/observe"
	"github.com/acacialink/acacialink/internal/suspect"
)

func TestOperatorSeesHoldsAndLiftsSegments(t *testing.T) {
	is := is.New(t)
	log := slog.New(slog.DiscardHandler)
	ledger := suspect.NewLedger(time.Now(), "h", suspect.NewMetrics(observe.NewRegistry(observe.Identity{})), log)
	allowed := true
	handler := Handler("/suspects", ledger, func(*http.Request) bool { return allowed }, log)
	do := func(method, path string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), method, path, nil))
		return w
	}
	held := func() (list []Held) {
		w := do(http.MethodGet, "/suspects")
		is.Equal(w.Code, http.StatusOK)
		is.NoErr(json.Unmarshal(w.Body.Bytes(), &list))
		return list
	}
	is.Equal(len(held()), 0)
	is.Equal(do(http.MethodPut, "/suspects/llm/5c1e07a2").Code, http.StatusNoContent)
	is.Equal(held()[0].Segment, "5c1e07a2")
	is.True(held()[0].ByOperator)
	_, refused := ledger.Check(time.Now(), "llm", []uint64{0x5c1e07a2}, true)
	is.True(refused)
	is.Equal(do(http.MethodPut, "/suspects/llm/xyz").Code, http.StatusBadRequest)
	allowed = false
	is.Equal(do(http.MethodDelete, "/suspects/llm/5c1e07a2").Code, http.StatusForbidden)
	is.Equal(len(held()), 1)
	allowed = true
	time.Sleep(time.Millisecond) // a later order outranks an earlier one
	is.Equal(do(http.MethodDelete, "/suspects/llm/5c1e07a2").Code, http.StatusNoContent)
	is.Equal(len(held()), 0)
}
