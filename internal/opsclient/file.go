package opsclient

import (
	"encoding/json"
	"io"
	"os"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"

	"github.com/acacialink/acacialink/internal/exit"
	"github.com/acacialink/acacialink/internal/resource"
)

// maxFileBytes bounds a file of resources.
const maxFileBytes = 32 << 20

// readFile returns the resources of a file, or of the standard input for "-".
func readFile(name string) ([]resource.Resource, error) {
	var in io.Reader = os.Stdin
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, fail(exit.Settings, err, "open")
		}
		defer f.Close()
		in = f
	}
	data, err := io.ReadAll(io.LimitReader(in, maxFileBytes+1))
	if err != nil {
		return nil, fail(exit.Settings, err, "read "+name)
	}
	if len(data) > maxFileBytes {
		return nil, failf(exit.Settings, "%s is larger than %d bytes", name, maxFileBytes)
	}
	list, err := ParseResources(data)
	if err != nil {
		return nil, fail(exit.Settings, err, name)
	}
	return list, nil
}

// ParseResources reads JSON with comments: one resource, an array of them, or
// an object whose field "items" is such an array.
func ParseResources(data []byte) ([]resource.Resource, error) {
	plain, err := hujson.Standardize(data)
	if err != nil {
		return nil, errors.Wrap(err, "not JSON with comments")
	}
	var list []resource.Resource
	if json.Unmarshal(plain, &list) == nil {
		return list, nil
	}
	var object struct {
		resource.Resource
		Items *[]resource.Resource `json:"items"`
	}
	if err := json.Unmarshal(plain, &object); err != nil {
		return nil, errors.Wrap(err, "neither a resource nor a list of them")
	}
	if object.Items != nil {
		return *object.Items, nil
	}
	if object.Kind == "" {
		return nil, errors.New("neither a resource nor a list of them: there is no field \"kind\" and no field \"items\"")
	}
	return []resource.Resource{object.Resource}, nil
}
