package bodybudget

import (
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

func TestBudgetBoundsBodiesInMemory(t *testing.T) {
	is := is.New(t)
	b := New(10)
	first := b.NewReader(strings.NewReader("12345678"))
	_, err := io.ReadAll(first)
	is.NoErr(err)
	second := b.NewReader(strings.NewReader("12345678"))
	_, err = io.ReadAll(second)
	is.True(errors.Is(err, ErrExhausted))
	second.Release()
	first.Release()
	is.Equal(b.Reserved(), int64(0))
	third := b.NewReader(strings.NewReader("12345678"))
	_, err = io.ReadAll(third)
	is.NoErr(err)
}
