package resource

import (
	"fmt"
	"strings"
)

// Fault is one thing that is wrong with a resource.
type Fault struct {
	// Path names the field, such as "spec.rate_tokens" or "items[3].name".
	Path    string `json:"path"`
	Message string `json:"message"`
}

// Faults are all things that are wrong, in the order of the fields.
type Faults []Fault

// Error implements the error interface.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Path + ": " + fault.Message
	}
	return strings.Join(lines, "; ")
}

// Under returns the faults with their paths below prefix.
func (f Faults) Under(prefix string) Faults {
	list := make(Faults, len(f))
	for i, fault := range f {
		list[i] = Fault{Path: prefix + "." + fault.Path, Message: fault.Message}
	}
	return list
}

// checker collects faults below one path.
type checker struct {
	faults Faults
}

func (c *checker) add(path, format string, args ...any) {
	c.faults = append(c.faults, Fault{Path: path, Message: fmt.Sprintf(format, args...)})
}

// require adds a fault unless ok.
func (c *checker) require(ok bool, path, format string, args ...any) {
	if !ok {
		c.add(path, format, args...)
	}
}

// unique adds a fault for each value that stands twice.
func (c *checker) unique(path string, values []string) {
	seen := map[string]bool{}
	for i, v := range values {
		c.require(!seen[v], fmt.Sprintf("%s[%d]", path, i), "%q stands twice", v)
		seen[v] = true
	}
}
