package settings

import (
	"io"
	"os"
	"reflect"
	"regexp"
	"slices"
	"strconv"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// LoadEntry reads and validates the settings of an entry host process. The
// error is a *Problems if the file was read but is invalid.
func LoadEntry(path string) (Entry, error) {
	source, err := readFile(path)
	if err != nil {
		return Entry{}, err
	}
	entry, problems := ParseEntry(source)
	entry.TLS = entry.TLS.resolvePaths(path)
	return entry, problemsError(path, problems)
}

// LoadAgent reads and validates the settings of an agent process. The error is
// a *Problems if the file was read but is invalid.
func LoadAgent(path string) (Agent, error) {
	source, err := readFile(path)
	if err != nil {
		return Agent{}, err
	}
	agent, problems := ParseAgent(source)
	agent.TLS = agent.TLS.resolvePaths(path)
	return agent, problemsError(path, problems)
}

// Check reads and validates a settings file and returns all its problems. The
// field "kind" selects the type of process. The error is non-nil only if the
// file could not be read.
func Check(path string) ([]Problem, error) {
	source, err := readFile(path)
	if err != nil {
		return nil, err
	}
	return CheckSource(source), nil
}

// CheckSource validates the content of a settings file and returns all its
// problems.
func CheckSource(source []byte) []Problem {
	kind, problem := kindOf(source)
	switch {
	case problem != nil:
		return []Problem{*problem}
	case kind == KindAgent:
		_, problems := ParseAgent(source)
		return problems
	default:
		_, problems := ParseEntry(source)
		return problems
	}
}

// ParseEntry decodes and validates the settings of an entry host process. Fields
// that are not in source have their default. Problems are ordered by line.
func ParseEntry(source []byte) (Entry, []Problem) {
	entry := DefaultEntry()
	entry.Kind = ""
	d := newDecoder(source)
	if d.decode(reflect.ValueOf(&entry).Elem()) {
		d.checkEntryRelations(&entry)
	}
	return entry, d.sortedProblems()
}

// ParseAgent decodes and validates the settings of an agent process. Fields
// that are not in source have their default. Problems are ordered by line.
func ParseAgent(source []byte) (Agent, []Problem) {
	agent := DefaultAgent()
	agent.Kind = ""
	d := newDecoder(source)
	if d.decode(reflect.ValueOf(&agent).Elem()) {
		d.checkAgentRelations(&agent)
	}
	return agent, d.sortedProblems()
}

func newDecoder(source []byte) *decoder {
	return &decoder{
		source:   source,
		lines:    make(map[string]int),
		reported: make(map[string]bool),
	}
}

// decode fills target and checks each field on its own, without relations
// between fields. It returns false if the source could not be parsed.
func (d *decoder) decode(target reflect.Value) bool {
	root, err := hujson.Parse(d.source)
	if err != nil {
		d.problems = append(d.problems, syntaxProblem(err))
		return false
	}
	d.decodeValue("", &root, target)
	d.checkValue("", target, "")
	return true
}

// sortedProblems returns the problems ordered by line. Problems of the same line
// keep the order in which they were found.
func (d *decoder) sortedProblems() []Problem {
	slices.SortStableFunc(d.problems, func(agent, b Problem) int { return agent.Line - b.Line })
	return d.problems
}

// kindOf returns the value of the field "kind", or a problem if it is missing or
// unknown.
func kindOf(source []byte) (string, *Problem) {
	root, err := hujson.Parse(source)
	if err != nil {
		problem := syntaxProblem(err)
		return "", &problem
	}
	kind := ""
	if found := root.Find("/kind"); found != nil {
		kind = literalString(found.Value)
	}
	if kind == KindEntry || kind == KindAgent {
		return kind, nil
	}
	return "", &Problem{Path: "kind", Line: 1, Message: `is required: "entry" or "agent"`}
}

// syntaxLinePattern matches the line number in a parser error.
var syntaxLinePattern = regexp.MustCompile(`line (\d+)`)

func syntaxProblem(err error) Problem {
	p := Problem{Line: 1, Message: err.Error()}
	if match := syntaxLinePattern.FindStringSubmatch(err.Error()); match != nil {
		p.Line, _ = strconv.Atoi(match[1])
	}
	return p
}

func problemsError(path string, problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	return &Problems{File: path, List: problems}
}

// readFile returns the content of a file of at most maxFileBytes.
func readFile(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	defer file.Close()
	source, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	if len(source) > maxFileBytes {
		return nil, errors.Errorf("read settings: %s is larger than %d bytes", path, maxFileBytes)
	}
	return source, nil
}
