package engine

import (
	"strings"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/cespare/xxhash/v2"
)

// vocabulary is the list of words that answers consist of.
var vocabulary = strings.Fields(`
amber anchor apron arch aspen atlas banner barge basin beacon birch boat
bridge brook candle canal cedar chalk chapel charter clay cloud coast copper
coral cotton crane creek crown dawn delta dice dock drift dusk eagle ember
engrave fern ferry festival field flame float forest garden gate glass glow
grain granite grove harbour hazel heron hill inlet island ivory ivy juniper
kiln lake lantern lapis larch ledger linen lotus maple marble market meadow
mill mist moon mosaic moss night north oak ochre olive onyx orchard otter
paper parish pearl permit pier pine plaza poplar quartz quay rain raven reed
ridge river rope rose rush saffron sail school seal shore silk silver slate
sky spire spring spruce star stone stream summer swan tide timber torch tower
trail tulip valley velvet village vine violet walnut water wave weir wharf
willow wind winter wood wool workshop wren yard yarrow yew`)

// Seed returns the seed of the answer to a prompt. It identifies the answer.
func Seed(model, adapter, prompt string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range []string{model, adapter, prompt} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}

// tokenText returns the token at the given index of the answer.
func tokenText(seed uint64, index int) string {
	hash := seed + uint64(index)*0x9E3779B97F4A7C15
	hash ^= hash >> 31
	hash *= 0xBF58476D1CE4E5B9
	hash ^= hash >> 29
	return " " + vocabulary[hash%uint64(len(vocabulary))]
}

// ExpectedToken returns the text of one token of the answer to a prompt. All
// engines generate the same answer, so that a test can check a resumed one.
func ExpectedToken(model, adapter, prompt string, index int) string {
	return tokenText(Seed(model, adapter, prompt), index)
}

// ExpectedText returns the first n tokens of the answer to a prompt.
func ExpectedText(model, adapter, prompt string, n int) string {
	return TextOf(Seed(model, adapter, prompt), n)
}

// TextOf returns the first n tokens of the answer with the given seed.
func TextOf(seed uint64, n int) string {
	var text strings.Builder
	for i := range n {
		text.WriteString(tokenText(seed, i))
	}
	return text.String()
}

// answerLength returns the number of tokens of the answer and its finish reason.
func (o Options) answerLength(g backing.Generation, seed uint64) (int, string) {
	if g.MaxTokens <= 0 {
		return defaultOutputTokens, "stop"
	}
	if o.EarlyStops && seed&1 == 1 {
		return 1 + int((seed>>1)%uint64(g.MaxTokens)), "stop"
	}
	return g.MaxTokens, "length"
}
