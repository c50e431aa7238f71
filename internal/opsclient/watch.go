package opsclient

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/exit"
	"github.com/acacialink/acacialink/internal/opsapi"
)

// maxEventBytes is the maximum size of one line of the event stream.
const maxEventBytes = 40 << 20

// Watch prints the changes after a revision as they arrive, until ctx is done.
// If the revision is negative, it starts with the next change. An empty kind
// selects all kinds.
func Watch(ctx context.Context, o Options, kind string, after int64, out io.Writer) error {
	q := url.Values{}
	if kind != "" {
		q.Set("kind", kind)
	}
	if after >= 0 {
		q.Set("after", fmt.Sprint(after))
	}
	response, err := o.send(ctx, http.MethodGet, watchPath+"?"+q.Encode(), nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
		return responseError(response.StatusCode, data)
	}
	err = o.printEvents(response.Body, out)
	if ctx.Err() != nil {
		return nil
	}
	if err == nil {
		err = errors.New("the host ended the stream")
	}
	return wrapWithCode(exit.Unreachable, err, "watch")
}

func (o Options) printEvents(in io.Reader, out io.Writer) error {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		var event opsapi.WatchResponse
		if err := json.Unmarshal(data, &event); err != nil {
			return err
		}
		if err := o.printEvent(out, event); err != nil {
			return err
		}
	}
	return lines.Err()
}

func (o Options) printEvent(out io.Writer, event opsapi.WatchResponse) error {
	if o.JSON {
		return json.NewEncoder(out).Encode(event)
	}
	for _, c := range event.Changes {
		for _, item := range c.Items {
			verb := "is"
			if item.Deleted {
				verb = "was"
			}
			fmt.Fprintf(out, "%d %s/%s %s %s\n", c.Revision, item.Kind, item.Name, verb, item.Spec)
		}
	}
	return nil
}
