package settings

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// maxFileBytes is the maximum size of a settings file.
const maxFileBytes = 4 * mib

// decoder decodes a parsed file into a settings value and collects all
// problems instead of stopping at the first one.
type decoder struct {
	source []byte
	// lines maps the path of each field in the file to its line.
	lines map[string]int
	// reported holds the paths of fields that already have a problem.
	reported map[string]bool
	problems []Problem
}

// addProblem records a problem with the field at path.
func (d *decoder) addProblem(path, format string, args ...any) {
	d.reported[path] = true
	d.problems = append(d.problems, Problem{
		Path:    path,
		Line:    d.lineOfField(path),
		Message: fmt.Sprintf(format, args...),
	})
}

// lineOfField returns the line of the field, or of its closest enclosing object
// in the file.
func (d *decoder) lineOfField(path string) int {
	for path != "" {
		if line, ok := d.lines[path]; ok {
			return line
		}
		path = parentPath(path)
	}
	return max(1, d.lines[""])
}

// parentPath returns the path of the object or list that contains path.
func parentPath(path string) string {
	cut := strings.LastIndexAny(path, ".[")
	if cut < 0 {
		return ""
	}
	return path[:cut]
}

// recordLine stores the line of the field that starts at a byte offset.
func (d *decoder) recordLine(path string, offset int) {
	d.lines[path] = lineAtOffset(d.source, offset)
}

// lineAtOffset returns the one-based line of a byte offset.
func lineAtOffset(source []byte, offset int) int {
	offset = min(max(offset, 0), len(source))
	return 1 + strings.Count(string(source[:offset]), "\n")
}

// decodeValue decodes v into target.
func (d *decoder) decodeValue(path string, v *hujson.Value, target reflect.Value) {
	if _, known := d.lines[path]; !known {
		d.recordLine(path, v.StartOffset)
	}
	switch target.Kind() {
	case reflect.Struct:
		d.decodeObject(path, v, target)
	case reflect.Slice:
		d.decodeList(path, v, target)
	default:
		d.decodeScalar(path, v, target)
	}
}

// decodeObject decodes an object and reports unknown and duplicate fields.
func (d *decoder) decodeObject(path string, v *hujson.Value, target reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.addProblem(path, "must be an object")
		return
	}
	seen := make(map[string]bool, len(object.Members))
	for i := range object.Members {
		member := &object.Members[i]
		name := literalString(member.Name.Value)
		field := joinPath(path, name)
		if seen[name] {
			line := lineAtOffset(d.source, member.Name.StartOffset)
			d.problems = append(d.problems, Problem{Path: field, Line: line, Message: "is given twice"})
			continue
		}
		seen[name] = true
		d.recordLine(field, member.Name.StartOffset)
		index, ok := fieldByName(target.Type(), name)
		if !ok {
			d.addProblem(field, "unknown field; known here: %s", strings.Join(fieldNames(target.Type()), ", "))
			continue
		}
		d.decodeValue(field, &member.Value, target.Field(index))
	}
}

// decodeList decodes a list. A list in the file replaces the default list.
func (d *decoder) decodeList(path string, v *hujson.Value, target reflect.Value) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.addProblem(path, "must be a list")
		return
	}
	list := reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements))
	for i := range array.Elements {
		d.decodeValue(fmt.Sprintf("%s[%d]", path, i), &array.Elements[i], list.Index(i))
	}
	target.Set(list)
}

// decodeScalar decodes a string, number, boolean or duration.
func (d *decoder) decodeScalar(path string, v *hujson.Value, target reflect.Value) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || string(literal) == "null" {
		d.addProblem(path, "must be %s", typeName(target.Type()))
		return
	}
	if target.Type() == reflect.TypeFor[Duration]() {
		d.decodeDuration(path, literal, target)
		return
	}
	if json.Unmarshal(literal, target.Addr().Interface()) != nil {
		d.addProblem(path, "must be %s, not %s", typeName(target.Type()), truncate(string(literal)))
	}
}

// decodeDuration decodes a string in the format of time.ParseDuration.
func (d *decoder) decodeDuration(path string, literal hujson.Literal, target reflect.Value) {
	var text string
	if json.Unmarshal(literal, &text) != nil {
		d.addProblem(path, "must be a duration as a string, such as \"500ms\", not %s", truncate(string(literal)))
		return
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		d.addProblem(path, "%s is no duration; write for example \"500ms\" or \"2s\"", truncate(string(literal)))
		return
	}
	target.SetInt(int64(parsed))
}

// literalString returns the value of a string literal, or "" for any other value.
func literalString(v hujson.ValueTrimmed) string {
	literal, ok := v.(hujson.Literal)
	if !ok {
		return ""
	}
	return literal.String()
}

// joinPath appends a field name to a path.
func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// maxQuotedBytes is the length above which a quoted value is truncated.
const maxQuotedBytes = 60

// truncate shortens s to maxQuotedBytes for use in a message.
func truncate(s string) string {
	if len(s) <= maxQuotedBytes {
		return s
	}
	return s[:maxQuotedBytes] + "…"
}
