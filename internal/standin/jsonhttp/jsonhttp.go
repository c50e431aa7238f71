// Package jsonhttp reads and writes the JSON bodies of the stand-ins.
package jsonhttp

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/pkg/errors"
)

// maxBodyBytes is the maximum size of a request body, 64 MiB.
const maxBodyBytes = 64 << 20

// Read decodes the JSON body of the request into v. On failure it responds with
// status 422 and returns false.
func Read(w http.ResponseWriter, r *http.Request, v any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(body, v)
	}
	if err != nil {
		WriteError(w, errors.Wrap(backing.ErrRejected, err.Error()))
		return false
	}
	return true
}

// ReadBytes returns the complete body of the request. On failure it responds
// with status 422 and returns false.
func ReadBytes(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		WriteError(w, errors.Wrap(backing.ErrRejected, err.Error()))
		return nil, false
	}
	return body, true
}

// Write responds with status 200 and v as JSON.
func Write(w http.ResponseWriter, v any) { write(w, http.StatusOK, v) }

// WriteResult responds with status 200 and v as JSON if err is nil; otherwise it
// responds as WriteError does.
func WriteResult(w http.ResponseWriter, v any, err error) {
	if err != nil {
		WriteError(w, err)
		return
	}
	Write(w, v)
}

// WriteError responds with the status and JSON body that backing.EncodeError
// returns for err.
func WriteError(w http.ResponseWriter, err error) {
	status, body := backing.EncodeError(err)
	write(w, status, body)
}

func write(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
