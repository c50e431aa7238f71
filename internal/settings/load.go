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

// LoadEntry reads and checks the settings of an entry host process. The error
// is a *Problems when the file could be read and was refused.
func LoadEntry(path string) (Entry, error) {
	source, err := read(path)
	if err != nil {
		return Entry{}, err
	}
	e, problems := ParseEntry(source)
	e.TLS = e.TLS.relativeTo(path)
	return e, refusal(path, problems)
}

// LoadAgent reads and checks the settings of an agent process. The error is a
// *Problems when the file could be read and was refused.
func LoadAgent(path string) (Agent, error) {
	source, err := read(path)
	if err != nil {
		return Agent{}, err
	}
	a, problems := ParseAgent(source)
	a.TLS = a.TLS.relativeTo(path)
	return a, refusal(path, problems)
}

// Check reads a settings file, whose field "kind" says of which process it
// is, and returns all its problems. The error says that it could not be read.
func Check(path string) ([]Problem, error) {
	source, err := read(path)
	if err != nil {
		return nil, err
	}
	return CheckSource(source), nil
}

// CheckSource returns all problems of the text of a settings file.
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

// ParseEntry decodes and checks the text of an entry's settings.
func ParseEntry(source []byte) (Entry, []Problem) {
	e := DefaultEntry()
	e.Kind = ""
	d := newDecoder(source)
	if d.decode(reflect.ValueOf(&e).Elem()) {
		d.relateEntry(&e)
	}
	return e, d.sorted()
}

// ParseAgent decodes and checks the text of an agent's settings.
func ParseAgent(source []byte) (Agent, []Problem) {
	a := DefaultAgent()
	a.Kind = ""
	d := newDecoder(source)
	if d.decode(reflect.ValueOf(&a).Elem()) {
		d.relateAgent(&a)
	}
	return a, d.sorted()
}

func newDecoder(source []byte) *decoder {
	return &decoder{
		source:   source,
		lines:    make(map[string]int),
		reported: make(map[string]bool),
	}
}

// decode fills target and checks each field by itself. It returns false when
// the text could not be parsed at all.
func (d *decoder) decode(target reflect.Value) bool {
	root, err := hujson.Parse(d.source)
	if err != nil {
		d.problems = append(d.problems, syntaxProblem(err))
		return false
	}
	d.value("", &root, target)
	d.check("", target, "")
	return true
}

// sorted returns the problems by line, then by path.
func (d *decoder) sorted() []Problem {
	slices.SortStableFunc(d.problems, func(a, b Problem) int { return a.Line - b.Line })
	return d.problems
}

// kindOf returns the field "kind" of a settings file.
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

// syntaxLine finds the line in the parser's message.
var syntaxLine = regexp.MustCompile(`line (\d+)`)

func syntaxProblem(err error) Problem {
	p := Problem{Line: 1, Message: err.Error()}
	if match := syntaxLine.FindStringSubmatch(err.Error()); match != nil {
		p.Line, _ = strconv.Atoi(match[1])
	}
	return p
}

func refusal(path string, problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	return &Problems{File: path, List: problems}
}

// read returns the text of a file within the size bound.
func read(path string) ([]byte, error) {
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
