package settings

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// maxFileBytes bounds a settings file.
const maxFileBytes = 4 * mib

// decoder copies a parsed file into a settings value and collects problems.
type decoder struct {
	source   []byte
	lines    map[string]int
	reported map[string]bool
	problems []Problem
}

// report adds a problem of the field at path.
func (d *decoder) report(path, format string, args ...any) {
	d.reported[path] = true
	d.problems = append(d.problems, Problem{
		Path:    path,
		Line:    d.line(path),
		Message: fmt.Sprintf(format, args...),
	})
}

// line returns the line of the field, or of the closest object around it.
func (d *decoder) line(path string) int {
	for path != "" {
		if line, ok := d.lines[path]; ok {
			return line
		}
		path = parent(path)
	}
	return max(1, d.lines[""])
}

// parent returns the path of the object or list that holds path.
func parent(path string) string {
	cut := strings.LastIndexAny(path, ".[")
	if cut < 0 {
		return ""
	}
	return path[:cut]
}

// mark remembers the line of a field by its byte offset.
func (d *decoder) mark(path string, offset int) {
	d.lines[path] = lineOf(d.source, offset)
}

// lineOf returns the line, from one, of a byte offset.
func lineOf(source []byte, offset int) int {
	offset = min(max(offset, 0), len(source))
	return 1 + strings.Count(string(source[:offset]), "\n")
}

// value decodes v into target.
func (d *decoder) value(path string, v *hujson.Value, target reflect.Value) {
	if _, known := d.lines[path]; !known {
		d.mark(path, v.StartOffset)
	}
	switch target.Kind() {
	case reflect.Struct:
		d.object(path, v, target)
	case reflect.Slice:
		d.list(path, v, target)
	default:
		d.scalar(path, v, target)
	}
}

// object decodes an object field by field and refuses unknown ones.
func (d *decoder) object(path string, v *hujson.Value, target reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.report(path, "must be an object")
		return
	}
	seen := make(map[string]bool, len(object.Members))
	for i := range object.Members {
		member := &object.Members[i]
		name := literalString(member.Name.Value)
		field := join(path, name)
		if seen[name] {
			line := lineOf(d.source, member.Name.StartOffset)
			d.problems = append(d.problems, Problem{Path: field, Line: line, Message: "is given twice"})
			continue
		}
		seen[name] = true
		d.mark(field, member.Name.StartOffset)
		index, ok := fieldByName(target.Type(), name)
		if !ok {
			d.report(field, "unknown field; known here: %s", strings.Join(fieldNames(target.Type()), ", "))
			continue
		}
		d.value(field, &member.Value, target.Field(index))
	}
}

// list decodes a list; a list in the file replaces the default one.
func (d *decoder) list(path string, v *hujson.Value, target reflect.Value) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.report(path, "must be a list")
		return
	}
	list := reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements))
	for i := range array.Elements {
		d.value(fmt.Sprintf("%s[%d]", path, i), &array.Elements[i], list.Index(i))
	}
	target.Set(list)
}

// scalar decodes a string, number, boolean or duration.
func (d *decoder) scalar(path string, v *hujson.Value, target reflect.Value) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || string(literal) == "null" {
		d.report(path, "must be %s", typeName(target.Type()))
		return
	}
	if target.Type() == reflect.TypeFor[Duration]() {
		d.duration(path, literal, target)
		return
	}
	if json.Unmarshal(literal, target.Addr().Interface()) != nil {
		d.report(path, "must be %s, not %s", typeName(target.Type()), shorten(string(literal)))
	}
}

// duration decodes a duration string.
func (d *decoder) duration(path string, literal hujson.Literal, target reflect.Value) {
	var text string
	if json.Unmarshal(literal, &text) != nil {
		d.report(path, "must be a duration as a string, such as \"500ms\", not %s", shorten(string(literal)))
		return
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		d.report(path, "%s is no duration; write for example \"500ms\" or \"2s\"", shorten(string(literal)))
		return
	}
	target.SetInt(int64(parsed))
}

// literalString returns the text of a string literal.
func literalString(v hujson.ValueTrimmed) string {
	literal, ok := v.(hujson.Literal)
	if !ok {
		return ""
	}
	return literal.String()
}

// join appends a field name to a path.
func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// shortenAt is the longest value that a problem quotes, in bytes.
const shortenAt = 60

// shorten cuts a long quoted value.
func shorten(s string) string {
	if len(s) <= shortenAt {
		return s
	}
	return s[:shortenAt] + "…"
}
