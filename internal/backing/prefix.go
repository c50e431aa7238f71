package backing

import "github.com/cespare/xxhash/v2"

// PrefixHashes returns one hash for each complete block of KVBlockTokens tokens of
// the prompt. Hash i covers the model and blocks 0 to i, so two prompts that
// share their first n blocks share the first n hashes.
func PrefixHashes(model, prompt string) []uint64 {
	const blockBytes = KVBlockTokens * bytesPerToken
	hashes := make([]uint64, 0, len(prompt)/blockBytes)
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(model)
	_, _ = digest.Write([]byte{0})
	for len(prompt) >= blockBytes {
		_, _ = digest.WriteString(prompt[:blockBytes])
		prompt = prompt[blockBytes:]
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}
