package opsclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/exit"
	"github.com/acacialink/acacialink/internal/framing"
	"github.com/acacialink/acacialink/internal/opsapi"
	"github.com/acacialink/acacialink/internal/verdict"
)

// maxResponseBytes is the maximum size of a response body.
const maxResponseBytes = 64 << 20

// call sends one request and decodes the response into out. Errors carry the
// exit code of the command.
func (o Options) call(ctx context.Context, method, path string, body, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := o.send(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return wrapWithCode(lostResponseCode(method), err, "read the response")
	}
	if !framing.IsFinal(response.StatusCode) {
		return wrapWithCode(lostResponseCode(method), framing.ErrStatus, "read the response")
	}
	if response.StatusCode >= http.StatusBadRequest {
		return responseError(response.StatusCode, data)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return wrapWithCode(lostResponseCode(method), err, "decode the response")
	}
	return nil
}

// send sends the request to the first address that accepts a connection. It does
// not try another address after the request may have been sent, since the first
// host may have executed it.
func (o Options) send(ctx context.Context, method, path string, body any) (*http.Response, error) {
	var payload []byte
	if body != nil {
		var err error
		if payload, err = json.Marshal(body); err != nil {
			return nil, wrapWithCode(exit.Usage, err, "encode the request")
		}
	}
	err := errors.New("no address is given")
	for _, address := range o.Addresses {
		var response *http.Response
		response, err = o.sendTo(ctx, address, method, path, payload)
		if err == nil {
			return response, nil
		}
		if !isDialError(err) {
			return nil, wrapWithCode(lostResponseCode(method), err, "the answer was lost")
		}
	}
	return nil, wrapWithCode(exit.Unreachable, err, "no entry host could be reached")
}

func (o Options) sendTo(ctx context.Context, address, method, path string, body []byte) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(address, "/")+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "address")
	}
	r.Header.Set("Authorization", "Bearer "+o.Token)
	r.Header.Set("Content-Type", "application/json")
	if strings.HasPrefix(path, watchPath) {
		r.Header.Set("Accept", "text/event-stream")
	}
	return o.client().Do(r)
}

// isDialError reports whether the connection was never established, so that no
// part of the request was sent.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

// lostResponseCode returns the exit code for a request whose response was lost.
// A GET has no effect; any other request may have been executed, so its outcome
// is unknown.
func lostResponseCode(method string) exit.Code {
	if method == http.MethodGet {
		return exit.Unreachable
	}
	return exit.Unknown
}

// responseError converts an error response to an error that lists all faults
// and conflicts.
func responseError(status int, data []byte) error {
	var body opsapi.ErrorBody
	if err := json.Unmarshal(data, &body); err != nil || body.Error.Code == "" {
		return errorfWithCode(exit.Failed, "the host answered with status %d", status)
	}
	e := body.Error
	lines := []string{e.Message}
	for _, f := range e.Faults {
		lines = append(lines, fmt.Sprintf("  %s: %s", f.Path, f.Message))
	}
	for _, c := range e.Conflicts {
		lines = append(lines, fmt.Sprintf("  %s/%s: expected revision %d, current revision %d", c.Kind, c.Name, c.Expected, c.Current))
	}
	return errorfWithCode(exitCodeForStatus(status, e.Verdict), "%s", strings.Join(lines, "\n"))
}

// exitCodeForStatus maps an HTTP status and, if the status alone is not
// conclusive, the verdict v to an exit code.
func exitCodeForStatus(status int, v string) exit.Code {
	switch status {
	case http.StatusUnauthorized:
		return exit.Refused
	case http.StatusNotFound:
		return exit.NotFound
	case http.StatusConflict:
		return exit.Conflict
	case http.StatusBadRequest, http.StatusUnprocessableEntity, http.StatusRequestEntityTooLarge, http.StatusPreconditionRequired:
		return exit.Settings
	}
	if verdict.Parse(v) == verdict.NotRun {
		return exit.Unreachable
	}
	return exit.Unknown
}
