package resource

import (
	"encoding/json"
	"regexp"
	"slices"

	"github.com/pkg/errors"
)

// MaxSpecBytes is the largest encoded spec, in bytes.
const MaxSpecBytes = 64 << 10

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)

const nameRule = "must be 1 to 63 of a-z, 0-9, '.', '_' and '-', with a letter or digit at both ends"

// ErrUnknownKind is returned for an unknown kind of resource.
var ErrUnknownKind = errors.New("unknown kind of resource")

// ParseKind returns the kind with the name text.
func ParseKind(text string) (Kind, error) {
	if k := Kind(text); slices.Contains(Kinds(), k) {
		return k, nil
	}
	return "", errors.Wrapf(ErrUnknownKind, "%q", text)
}

// Normalize returns the resource with its spec in stored form, and all its
// faults. It does not check references to other resources.
func Normalize(r Resource) (Resource, Faults) {
	c := &checker{}
	s := newSpec(r.Kind)
	if s == nil {
		c.add("kind", "must be one of %v", Kinds())
		return r, c.faults
	}
	c.require(namePattern.MatchString(r.Name), "name", nameRule)
	c.require(r.Kind != KindPolicy || r.Name == PolicyName, "name", "the only policy is %q", PolicyName)
	if len(r.Spec) > MaxSpecBytes {
		c.add("spec", "is larger than %d bytes", MaxSpecBytes)
		return r, c.faults
	}
	decodeFields(r.Spec, s, c)
	if len(c.faults) == 0 || onlyNameFaults(c.faults) {
		s.validate(c)
	}
	encoded, err := json.Marshal(s)
	if err != nil {
		c.add("spec", "%s", err.Error())
	}
	r.Spec = encoded
	r.Status = nil
	return r, c.faults
}

// onlyNameFaults reports whether all faults concern the name, so that the spec
// itself was decoded.
func onlyNameFaults(f Faults) bool {
	return !slices.ContainsFunc(f, func(fault Fault) bool { return fault.Path != "name" })
}

// References returns the resources that r refers to. It returns none if the spec
// cannot be decoded.
func References(r Resource) []Reference {
	s := newSpec(r.Kind)
	if s == nil || json.Unmarshal(r.Spec, s) != nil {
		return nil
	}
	return s.references()
}
