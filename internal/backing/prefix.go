package backing

import "github.com/cespare/xxhash/v2"

// PrefixHashes returns one hash for each whole piece of PieceTokens tokens of
// the prompt. Hash i covers the model and pieces 0 to i, so two prompts that
// share n pieces share the first n hashes.
func PrefixHashes(model, prompt string) []uint64 {
	const pieceBytes = PieceTokens * bytesPerToken
	hashes := make([]uint64, 0, len(prompt)/pieceBytes)
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(model)
	_, _ = d.Write([]byte{0})
	for len(prompt) >= pieceBytes {
		_, _ = d.WriteString(prompt[:pieceBytes])
		prompt = prompt[pieceBytes:]
		hashes = append(hashes, d.Sum64())
	}
	return hashes
}
