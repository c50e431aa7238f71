package settings

import (
	"fmt"
	"strings"
)

// Problem is one fault of a settings file.
type Problem struct {
	// Path names the field, such as "listen.callers" or "peers[2]"; empty for
	// the file as a whole.
	Path string `json:"path"`
	// Line counts from one. It is the line of the field, or of the closest
	// object around it when the file does not hold the field.
	Line int `json:"line"`
	// Message says what is wrong and what is expected.
	Message string `json:"message"`
}

// String returns the problem as one line of text.
func (p Problem) String() string {
	if p.Path == "" {
		return fmt.Sprintf("line %d: %s", p.Line, p.Message)
	}
	return fmt.Sprintf("line %d: %s: %s", p.Line, p.Path, p.Message)
}

// Problems is the error that a refused settings file gives: all its faults at
// once, in the order of their lines.
type Problems struct {
	File string
	List []Problem
}

// Error implements the error interface.
func (p *Problems) Error() string {
	lines := make([]string, 0, len(p.List))
	for _, one := range p.List {
		lines = append(lines, p.File+": "+one.String())
	}
	return strings.Join(lines, "\n")
}
