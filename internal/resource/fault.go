package resource

import (
	"fmt"
	"strings"
)

// Fault is one validation error of a resource.
type Fault struct {
	// Path is the path of the field, such as "spec.rate_tokens" or "items[3].name".
	Path    string `json:"path"`
	Message string `json:"message"`
}

// Faults lists validation errors in the order of the fields.
type Faults []Fault

// Error implements the error interface.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Path + ": " + fault.Message
	}
	return strings.Join(lines, "; ")
}

// WithPathPrefix returns the faults with prefix and a dot prepended to each path.
func (f Faults) WithPathPrefix(prefix string) Faults {
	faults := make(Faults, len(f))
	for i, fault := range f {
		faults[i] = Fault{Path: prefix + "." + fault.Path, Message: fault.Message}
	}
	return faults
}

// checker collects the faults of one resource.
type checker struct {
	faults Faults
}

func (c *checker) add(path, format string, args ...any) {
	c.faults = append(c.faults, Fault{Path: path, Message: fmt.Sprintf(format, args...)})
}

// require adds a fault unless ok is true.
func (c *checker) require(ok bool, path, format string, args ...any) {
	if !ok {
		c.add(path, format, args...)
	}
}

// requireUnique adds a fault for each repeated value.
func (c *checker) requireUnique(path string, values []string) {
	seen := map[string]bool{}
	for i, value := range values {
		c.require(!seen[value], fmt.Sprintf("%s[%d]", path, i), "%q stands twice", value)
		seen[value] = true
	}
}
