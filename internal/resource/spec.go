package resource

import (
	"bytes"
	"encoding/json"
	"reflect"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// spec is one of the …Spec types.
type spec interface {
	// check adds what is wrong with the fields, with paths such as "spec.rate_tokens".
	check(c *checker)
	// references returns the resources that must exist.
	references() []Reference
}

// Reference is a field that names another resource.
type Reference struct {
	Path string
	Kind Kind
	Name string
}

// newSpec returns an empty spec of the kind, nil for an unknown kind.
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

// decodeFields fills the spec field by field, so that each wrong or unknown
// field is reported.
func decodeFields(raw json.RawMessage, into spec, c *checker) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(raw, &fields); err != nil {
		c.add("spec", "must be an object")
		return
	}
	value := reflect.ValueOf(into).Elem()
	for i := range value.NumField() {
		name, _, _ := strings.Cut(value.Type().Field(i).Tag.Get("json"), ",")
		text, ok := fields[name]
		if !ok {
			continue
		}
		delete(fields, name)
		if err := decodeStrictly(text, value.Field(i).Addr().Interface()); err != nil {
			c.add("spec."+name, "%s", plainJSONError(err))
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

func decodeStrictly(text json.RawMessage, into any) error {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	return d.Decode(into)
}

// plainJSONError says what is wrong without naming Go types of the program.
func plainJSONError(err error) string {
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		return "must be " + jsonTypeName(wrong.Type.Kind()) + ", not " + wrong.Value
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
