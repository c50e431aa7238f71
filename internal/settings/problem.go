package settings

import (
	"fmt"
	"strings"
)

// Problem describes one error in a settings file.
type Problem struct {
	// Path is the path of the field, such as "listen.callers" or "peers[2]". It
	// is empty for a problem with the whole file.
	Path string `json:"path"`
	// Line is the one-based line of the field, or of its closest enclosing
	// object if the field is not in the file.
	Line int `json:"line"`
	// Message describes the error and the expected value.
	Message string `json:"message"`
}

// String formats the problem as a single line.
func (p Problem) String() string {
	if p.Path == "" {
		return fmt.Sprintf("line %d: %s", p.Line, p.Message)
	}
	return fmt.Sprintf("line %d: %s: %s", p.Line, p.Path, p.Message)
}

// Problems is the error for an invalid settings file.
type Problems struct {
	// File is the path of the settings file.
	File string
	// List holds all problems of the file, ordered by line.
	List []Problem
}

// Error returns all problems, one per line.
func (p *Problems) Error() string {
	lines := make([]string, 0, len(p.List))
	for _, problem := range p.List {
		lines = append(lines, p.File+": "+problem.String())
	}
	return strings.Join(lines, "\n")
}
