// Package suspectapi lets operators see the segments of prompts that are held back, hold
// a segment by hand and lift a hold.
package suspectapi

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/acacialink/acacialink/internal/observe"
	"github.com/acacialink/acacialink/internal/suspect"
)

// Held is one segment that is held back. Times are in milliseconds.
type Held struct {
	Service string `json:"service"`
	// Segment is the hash in hexadecimal, as callers write it.
	Segment string `json:"segment"`
	// Crashes is the number of engines that crashed since the segment was last answered,
	// CrashRequests that of the requests with it that were beginning then.
	Crashes       int `json:"crashes"`
	CrashRequests int `json:"crash_requests"`
	// LastCrashAgeMillis is the time since the last of them, or since the order.
	LastCrashAgeMillis int64 `json:"last_crash_age_ms"`
	// TriedInMillis is the time until a request is tried again.
	TriedInMillis int64 `json:"tried_in_ms"`
	ByOperator    bool  `json:"by_operator"`
}

// Handler returns the handler of the paths below prefix: GET prefix lists the segments
// that are held back, PUT prefix/SERVICE/SEGMENT holds one, DELETE lifts its hold. Both
// take effect at all hosts. Changes are refused with status 403 unless mayChange allows
// the request.
func Handler(prefix string, ledger *suspect.Ledger, mayChange func(*http.Request) bool, log *slog.Logger) http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(prefix, func(w http.ResponseWriter, _ *http.Request) { list(w, ledger, log) }).Methods(http.MethodGet)
	r.HandleFunc(prefix+"/{service}/{segment}", func(w http.ResponseWriter, r *http.Request) {
		if !mayChange(r) {
			http.Error(w, "only an operator may hold or lift a segment", http.StatusForbidden)
			return
		}
		hash, err := strconv.ParseUint(mux.Vars(r)["segment"], 16, 64)
		if err != nil {
			http.Error(w, "the segment is not a hexadecimal hash", http.StatusBadRequest)
			return
		}
		ledger.Order(time.Now(), suspect.Segment{Service: mux.Vars(r)["service"], Hash: hash}, r.Method == http.MethodPut)
		w.WriteHeader(http.StatusNoContent)
	}).Methods(http.MethodPut, http.MethodDelete)
	return r
}

func list(w http.ResponseWriter, ledger *suspect.Ledger, log *slog.Logger) {
	now := time.Now()
	held := []Held{}
	for _, v := range ledger.Held() {
		held = append(held, Held{
			Service: v.Segment.Service, Segment: v.Segment.String(), Crashes: v.Crashes, CrashRequests: v.Requests,
			LastCrashAgeMillis: now.Sub(v.LastCrash).Milliseconds(), TriedInMillis: v.Until().Sub(now).Milliseconds(), ByOperator: v.Ordered,
		})
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(held); err != nil {
		log.Debug("failed to write the list of held segments", observe.FieldError, err)
	}
}
