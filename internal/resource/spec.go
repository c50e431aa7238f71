package resource

import (
	"bytes"
	"encoding/json"
	"reflect"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// spec is implemented by the …Spec types.
type spec interface {
	// validate adds a fault for each invalid field, with a path such as
	// "spec.rate_tokens".
	validate(c *checker)
	// references returns the resources that must exist for this one.
	references() []Reference
}

// Reference is a reference from a field to another resource.
type Reference struct {
	Path string
	Kind Kind
	Name string
}

// newSpec returns an empty spec of the kind, or nil if the kind is unknown.
func newSpec(kind Kind) spec {
	switch kind {
	case KindWorkspace:
		return &WorkspaceSpec{}
	case KindKey:
		return &KeySpec{}
	case KindModel:
		return &ModelSpec{}
	case KindDomain:
		return &DomainSpec{}
	case KindPool:
		return &PoolSpec{}
	case KindEndpoint:
		return &EndpointSpec{}
	case KindRoute:
		return &RouteSpec{}
	case KindPolicy:
		return &PolicySpec{}
	default:
		return nil
	}
}

// decodeFields decodes the spec field by field, so that every invalid or unknown
// field is reported.
func decodeFields(raw json.RawMessage, dst spec, c *checker) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(raw, &fields); err != nil {
		c.add("spec", "must be an object")
		return
	}
	value := reflect.ValueOf(dst).Elem()
	for i := range value.NumField() {
		name, _, _ := strings.Cut(value.Type().Field(i).Tag.Get("json"), ",")
		rawValue, ok := fields[name]
		if !ok {
			continue
		}
		delete(fields, name)
		if err := decodeStrict(rawValue, value.Field(i).Addr().Interface()); err != nil {
			c.add("spec."+name, "%s", jsonErrorMessage(err))
		}
	}
	unknown := make([]string, 0, len(fields))
	for name := range fields {
		unknown = append(unknown, name)
	}
	slices.Sort(unknown)
	for _, name := range unknown {
		c.add("spec."+name, "unknown field")
	}
}

func decodeStrict(rawValue json.RawMessage, dst any) error {
	decoder := json.NewDecoder(bytes.NewReader(rawValue))
	decoder.DisallowUnknownFields()
	return decoder.Decode(dst)
}

// jsonErrorMessage describes a decoding error without Go type names.
func jsonErrorMessage(err error) string {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return "must be " + jsonTypeName(typeErr.Type.Kind()) + ", not " + typeErr.Value
	}
	return strings.TrimPrefix(err.Error(), "json: ")
}

func jsonTypeName(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Slice:
		return "a list"
	case reflect.Map, reflect.Struct:
		return "an object"
	case reflect.Float32, reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}
