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
	"github.com/acacialink/acacialink/internal/opsapi"
	"github.com/acacialink/acacialink/internal/verdict"
)

// maxAnswerBytes bounds an answer.
const maxAnswerBytes = 64 << 20

// call sends one request, decodes the answer into out, and maps failures to
// exit codes.
func (o Options) call(ctx context.Context, method, path string, body, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := o.send(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return fail(lostCode(method), err, "read the answer")
	}
	if response.StatusCode >= http.StatusBadRequest {
		return refused(response.StatusCode, data)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fail(lostCode(method), err, "understand the answer")
	}
	return nil
}

// send tries the addresses in turn, as long as no connection comes about.
func (o Options) send(ctx context.Context, method, path string, body any) (*http.Response, error) {
	var text []byte
	if body != nil {
		var err error
		if text, err = json.Marshal(body); err != nil {
			return nil, fail(exit.Usage, err, "encode the request")
		}
	}
	err := errors.New("no address is given")
	for _, address := range o.Addresses {
		var response *http.Response
		response, err = o.sendTo(ctx, address, method, path, text)
		if err == nil {
			return response, nil
		}
		if !neverConnected(err) {
			return nil, fail(lostCode(method), err, "the answer was lost")
		}
	}
	return nil, fail(exit.Unreachable, err, "no entry host could be reached")
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

// neverConnected says whether no byte of the request can have left.
func neverConnected(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// lostCode is the exit code when the answer to a request was lost.
func lostCode(method string) exit.Code {
	if method == http.MethodGet {
		return exit.Unreachable
	}
	return exit.Unknown
}

// refused maps an error answer to an error with all its details.
func refused(status int, data []byte) error {
	var body opsapi.ErrorBody
	if err := json.Unmarshal(data, &body); err != nil || body.Error.Code == "" {
		return failf(exit.Failed, "the host answered with status %d", status)
	}
	e := body.Error
	lines := []string{e.Message}
	for _, f := range e.Faults {
		lines = append(lines, fmt.Sprintf("  %s: %s", f.Path, f.Message))
	}
	for _, c := range e.Conflicts {
		lines = append(lines, fmt.Sprintf("  %s/%s: expected revision %d, current revision %d", c.Kind, c.Name, c.Expected, c.Current))
	}
	return failf(codeOfStatus(status, e.Verdict), "%s", strings.Join(lines, "\n"))
}

func codeOfStatus(status int, v string) exit.Code {
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
