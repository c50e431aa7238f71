package replay

import (
	"math/rand/v2"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// prefix returns the name and the tokens of the text that begins the prompt.
func (r *Request) prefix() (name string, tokens int, ok bool) {
	if r.Prefix == "" {
		return "", 0, true
	}
	name, count, found := strings.Cut(r.Prefix, ":")
	tokens, err := strconv.Atoi(count)
	ok = found && err == nil && name != "" && tokens >= 0 && tokens <= r.Context
	return name, tokens, ok
}

// prompt returns the text of a request: its prefix, which is the same in all
// requests that name it, and words of its own.
func (r *Request) prompt(seed uint64, index int) string {
	var b strings.Builder
	b.Grow(r.Context * len("abc "))
	name, shared, _ := r.prefix()
	appendWords(&b, xxhash.Sum64String(name), 0, shared)
	appendWords(&b, seed, uint64(index)+1, r.Context-shared)
	return b.String()
}

// appendWords appends words of three letters and a space each, which is one
// token by the engines' estimate.
func appendWords(b *strings.Builder, seed, stream uint64, count int) {
	rng := rand.New(rand.NewPCG(seed, stream))
	for range count {
		n := rng.Uint64()
		b.WriteByte('a' + byte(n%26))
		b.WriteByte('a' + byte(n>>8%26))
		b.WriteByte('a' + byte(n>>16%26))
		b.WriteByte(' ')
	}
}
