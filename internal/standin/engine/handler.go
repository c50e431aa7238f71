package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/standin/jsonhttp"
	"github.com/gorilla/mux"
	"github.com/pkg/errors"
)

// heartbeatInterval is the interval at which a stream without tokens gets an
// empty line.
const heartbeatInterval = time.Second

// Handler returns the HTTP API, including /faults and /record.
func (e *Engine) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/generate", e.abortOnCrash(e.serveGenerate)).Methods(http.MethodPost)
	r.HandleFunc("/v1/cancel", e.abortOnCrash(e.serveCancel)).Methods(http.MethodPost)
	r.HandleFunc("/v1/load", e.abortOnCrash(e.serveLoad)).Methods(http.MethodGet)
	r.HandleFunc("/v1/cache-events", e.abortOnCrash(e.serveCacheEvents)).Methods(http.MethodGet)
	r.HandleFunc("/v1/orders", e.abortOnCrash(e.serveOrder)).Methods(http.MethodPost)
	r.HandleFunc("/v1/kv/{name}", e.abortOnCrash(e.serveExport)).Methods(http.MethodGet)
	r.HandleFunc("/v1/kv/{name}", e.abortOnCrash(e.serveImport)).Methods(http.MethodPost)
	r.HandleFunc("/faults", e.serveFaults).Methods(http.MethodGet, http.MethodPut, http.MethodDelete)
	r.HandleFunc("/record", func(w http.ResponseWriter, _ *http.Request) {
		jsonhttp.Write(w, e.Record())
	}).Methods(http.MethodGet)
	return r
}

// abortOnCrash closes the connection of each call to a crashed engine, and of
// each call in progress when the engine crashes.
func (e *Engine) abortOnCrash(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		crashed, incarnation := e.faults.Crashed, e.incarnation
		e.mu.Unlock()
		if crashed {
			panic(http.ErrAbortHandler)
		}
		next(w, r)
		select {
		case <-incarnation:
			panic(http.ErrAbortHandler)
		default:
		}
	}
}

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var g backing.Generation
	if !jsonhttp.Read(w, r, &g) {
		return
	}
	s, err := e.enqueue(r.Context(), g, r.Header)
	if err != nil {
		jsonhttp.WriteError(w, err)
		return
	}
	lines := stream{encoder: json.NewEncoder(w), flush: http.NewResponseController(w).Flush}
	err = lines.send(backing.GenerateLine{})
	if err != nil {
		e.abort(s)
		return
	}
	finish, err := e.streamTokens(r.Context(), s, lines.token, lines.heartbeat)
	e.recordGenerationEnd(s, err)
	if errors.Is(err, errCrashed) {
		panic(http.ErrAbortHandler)
	}
	_ = lines.end(finish, err)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var c backing.CancelRequest
	if jsonhttp.Read(w, r, &c) {
		jsonhttp.WriteResult(w, struct{}{}, e.Cancel(r.Context(), c.ID))
	}
}

func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request) {
	load, err := e.Load(r.Context())
	jsonhttp.WriteResult(w, load, err)
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		jsonhttp.WriteError(w, errors.Wrap(backing.ErrRejected, err.Error()))
		return
	}
	list, err := e.CacheEvents(r.Context(), after)
	jsonhttp.WriteResult(w, list, err)
}

// serveOrder executes an accepted order even if the caller disconnects.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o backing.Order
	if !jsonhttp.Read(w, r, &o) {
		return
	}
	err := e.Apply(context.WithoutCancel(r.Context()), o)
	if errors.Is(err, backing.ErrUnknown) {
		panic(http.ErrAbortHandler)
	}
	jsonhttp.WriteResult(w, struct{}{}, err)
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	value, err := e.ExportKV(r.Context(), mux.Vars(r)["name"])
	if err != nil {
		jsonhttp.WriteError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(value.Value)
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	value, ok := jsonhttp.ReadBytes(w, r)
	if ok {
		jsonhttp.WriteResult(w, struct{}{}, e.ImportKV(r.Context(), mux.Vars(r)["name"], value))
	}
}

func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if r.Method == http.MethodPut && !jsonhttp.Read(w, r, &f) {
		return
	}
	if r.Method != http.MethodGet {
		e.SetFaults(f)
	}
	jsonhttp.Write(w, e.Faults())
}
