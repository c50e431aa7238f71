package settings

import (
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "rewrite the tables in docs/settings.md")

const (
	docsFile   = "../../docs/settings.md"
	tableStart = "<!-- tables: go test ./internal/settings -run Docs -update -->\n"
)

// TestDocs checks that the tables in docs/settings.md match the settings types:
// their field comments, check rules and defaults.
func TestDocs(t *testing.T) {
	is := is.New(t)
	comments := fieldComments(t)
	tables := tableStart +
		"\n## Entry host\n\n" + fieldTable(comments, reflect.ValueOf(DefaultEntry())) +
		"\n## Agent\n\n" + fieldTable(comments, reflect.ValueOf(DefaultAgent()))
	content, err := os.ReadFile(docsFile)
	is.NoErr(err)
	head, _, found := strings.Cut(string(content), tableStart)
	is.True(found)
	if *update {
		is.NoErr(os.WriteFile(docsFile, []byte(head+tables), 0o644))
		return
	}
	if string(content) != head+tables {
		t.Error("docs/settings.md is out of date: run go test ./internal/settings -run Docs -update")
	}
}

// fieldComments returns the doc comment of each struct field, keyed by
// Type.Field.
func fieldComments(t *testing.T) map[string]string {
	comments := make(map[string]string)
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range files {
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.ParseComments)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(file, func(n ast.Node) bool {
			spec, ok := n.(*ast.TypeSpec)
			if !ok {
				return true
			}
			if body, ok := spec.Type.(*ast.StructType); ok {
				for _, field := range body.Fields.List {
					for _, ident := range field.Names {
						comments[spec.Name.Name+"."+ident.Name] = strings.Join(strings.Fields(field.Doc.Text()), " ")
					}
				}
			}
			return true
		})
	}
	return comments
}

func fieldTable(comments map[string]string, v reflect.Value) string {
	var out strings.Builder
	out.WriteString("| field | default | rules | meaning |\n|---|---|---|---|\n")
	writeFieldRows(&out, comments, "", v)
	return out.String()
}

func writeFieldRows(out *strings.Builder, comments map[string]string, path string, v reflect.Value) {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		name := joinPath(path, fieldName(field))
		comment := comments[v.Type().Name()+"."+field.Name]
		switch field.Type.Kind() {
		case reflect.Struct:
			writeFieldRows(out, comments, name, v.Field(i))
		case reflect.Slice:
			fmt.Fprintf(out, "| `%s` | | %s | %s |\n", name, ruleText(field), comment)
			if field.Type.Elem().Kind() == reflect.Struct {
				writeFieldRows(out, comments, name+"[]", reflect.Zero(field.Type.Elem()))
			}
		default:
			fmt.Fprintf(out, "| `%s` | %s | %s | %s |\n", name, defaultText(v.Field(i)), ruleText(field), comment)
		}
	}
}

func defaultText(v reflect.Value) string {
	if v.Kind() == reflect.String && v.String() == "" {
		return ""
	}
	return fmt.Sprintf("`%v`", v.Interface())
}

func ruleText(f reflect.StructField) string {
	return strings.ReplaceAll(strings.ReplaceAll(f.Tag.Get("check"), ",", ", "), "|", " or ")
}
