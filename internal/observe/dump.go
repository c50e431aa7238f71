package observe

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/pkg/errors"
)

// Errors of Dump, which commands map to exit codes.
var (
	// ErrUnreachable means that the process did not respond.
	ErrUnreachable = errors.New("process is unreachable")
	// ErrNotOperator means that the token is missing or wrong.
	ErrNotOperator = errors.New("operator token is missing or wrong")
)

// maxDumpBytes limits the size of a dump.
const maxDumpBytes = 64 << 20

// Dump requests the state of the process at the operator address and writes it to
// out. If part is not empty, only that part is requested. The only timeout is that
// of ctx.
func Dump(ctx context.Context, address, token, part string, out io.Writer) error {
	target := url.URL{Scheme: "http", Host: address, Path: "/debug/state"}
	if part != "" {
		target.RawQuery = url.Values{"name": {part}}.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return errors.Wrap(err, "dump")
	}
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(ErrUnreachable, err.Error())
	}
	defer response.Body.Close()
	body := io.LimitReader(response.Body, maxDumpBytes)
	switch response.StatusCode {
	case http.StatusOK:
		_, err = io.Copy(out, body)
		return errors.Wrap(err, "dump")
	case http.StatusUnauthorized:
		return ErrNotOperator
	default:
		text, _ := io.ReadAll(body)
		return errors.Errorf("dump: %s: %s", response.Status, strings.TrimSpace(string(text)))
	}
}
