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

// maxFileBytes is the maximum size of a resource file.
const maxFileBytes = 32 << 20

// readFile returns the resources in a file, or on the standard input if name is
// "-".
func readFile(name string) ([]resource.Resource, error) {
	var in io.Reader = os.Stdin
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return nil, wrapWithCode(exit.Settings, err, "open")
		}
		defer file.Close()
		in = file
	}
	data, err := io.ReadAll(io.LimitReader(in, maxFileBytes+1))
	if err != nil {
		return nil, wrapWithCode(exit.Settings, err, "read "+name)
	}
	if len(data) > maxFileBytes {
		return nil, errorfWithCode(exit.Settings, "%s is larger than %d bytes", name, maxFileBytes)
	}
	list, err := ParseResources(data)
	if err != nil {
		return nil, wrapWithCode(exit.Settings, err, name)
	}
	return list, nil
}

// ParseResources parses resources from JSON with comments. The input is one
// resource, an array of resources, or an object with such an array in the field
// "items".
func ParseResources(data []byte) ([]resource.Resource, error) {
	standardized, err := hujson.Standardize(data)
	if err != nil {
		return nil, errors.Wrap(err, "not JSON with comments")
	}
	var list []resource.Resource
	if json.Unmarshal(standardized, &list) == nil {
		return list, nil
	}
	var object struct {
		resource.Resource
		Items *[]resource.Resource `json:"items"`
	}
	if err := json.Unmarshal(standardized, &object); err != nil {
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
