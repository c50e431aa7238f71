package replay

import (
	"math/rand/v2"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// parsePrefix returns the name and the length in tokens of the prefix segment. ok
// is false if Prefix is malformed or longer than the prompt.
func (r *Request) parsePrefix() (name string, tokens int, ok bool) {
	if r.Prefix == "" {
		return "", 0, true
	}
	name, count, found := strings.Cut(r.Prefix, ":")
	tokens, err := strconv.Atoi(count)
	ok = found && err == nil && name != "" && tokens >= 0 && tokens <= r.PromptTokens
	return name, tokens, ok
}

// promptText returns the prompt: the prefix segment, which is identical for all
// requests with the same prefix name, followed by words unique to the request.
func (r *Request) promptText(seed uint64, index int) string {
	var b strings.Builder
	b.Grow(r.PromptTokens * len("abc "))
	name, shared, _ := r.parsePrefix()
	appendWords(&b, xxhash.Sum64String(name), 0, shared)
	appendWords(&b, seed, uint64(index)+1, r.PromptTokens-shared)
	return b.String()
}

// appendWords appends random words of three letters and a space, each of which
// is one token by the engines' estimate.
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
