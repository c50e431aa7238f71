package audit

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"
)

// Fetch fetches the record of the stand-in at the base URL and decodes it into
// v, a pointer to the stand-in's record type, such as engine.Record.
func Fetch(ctx context.Context, base string, v any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/record", nil)
	if err != nil {
		return errors.Wrap(err, "record")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "record")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("fetch record of %s: status %d", base, resp.StatusCode)
	}
	return errors.Wrap(json.NewDecoder(resp.Body).Decode(v), "record")
}
