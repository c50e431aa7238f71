package exit

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// TestDocsListEveryExitCode checks that docs/exit-codes.md has a row for each
// exit code and no others.
func TestDocsListEveryExitCode(t *testing.T) {
	is := is.New(t)
	docs, err := os.ReadFile("../../docs/exit-codes.md")
	is.NoErr(err)
	file, err := parser.ParseFile(token.NewFileSet(), "code.go", nil, 0)
	is.NoErr(err)
	codeCount := 0
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		codeCount++
		row := "| " + spec.Values[0].(*ast.BasicLit).Value + " | " + spec.Names[0].Name + " | "
		if !strings.Contains(string(docs), row) {
			t.Errorf("docs/exit-codes.md has no row %q", row)
		}
		return true
	})
	is.Equal(strings.Count(string(docs), "\n| ")-2, codeCount)
}

func TestCodeOfReturnsCodeOfWrappedError(t *testing.T) {
	is := is.New(t)
	is.Equal(CodeOf(nil), OK)
	is.Equal(With(Usage, nil), nil)
	is.Equal(CodeOf(errors.New("plain")), Failed)
	is.Equal(CodeOf(errors.Wrap(With(Conflict, errors.New("inner")), "outer")), Conflict)
}
