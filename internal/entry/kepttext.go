package entry

const (
	minBlockBytes = 512
	// maxBlockDoublings is how often the size of a block doubles.
	maxBlockDoublings = 6
	// pieceBytes is the size of a piece of kept text.
	pieceBytes = 2 << 10
)

// keptText is the text of an answer in blocks of known sizes: what it takes is known
// before it grows, and none of it is copied then. The zero value is empty.
type keptText struct {
	blocks [][]byte
	// length is in bytes.
	length int
}

// add appends a text.
func (k *keptText) add(text string) {
	k.length += len(text)
	for len(text) > 0 {
		if k.free() == 0 {
			k.blocks = append(k.blocks, make([]byte, 0, blockBytes(len(k.blocks))))
		}
		last := len(k.blocks) - 1
		n := min(len(text), k.free())
		k.blocks[last] = append(k.blocks[last], text[:n]...)
		text = text[n:]
	}
}

// growth returns the memory that n more bytes take.
func (k *keptText) growth(n int) int {
	size := 0
	n -= k.free()
	for i := len(k.blocks); n > 0; i++ {
		size += blockBytes(i)
		n -= blockBytes(i)
	}
	return size
}

// pieces yields the text in order, each piece with whole runes.
func (k *keptText) pieces(yield func(string) bool) {
	piece := make([]byte, 0, pieceBytes)
	for _, block := range k.blocks {
		for len(block) > 0 {
			n := min(len(block), cap(piece)-len(piece))
			piece, block = append(piece, block[:n]...), block[n:]
			if len(piece) < cap(piece) {
				continue
			}
			text := string(piece)
			whole := wholeRunes(text)
			if !yield(text[:whole]) {
				return
			}
			piece = append(piece[:0], text[whole:]...)
		}
	}
	if len(piece) > 0 {
		yield(string(piece))
	}
}

// free returns the bytes that fit into the last block.
func (k *keptText) free() int {
	if len(k.blocks) == 0 {
		return 0
	}
	last := k.blocks[len(k.blocks)-1]
	return cap(last) - len(last)
}

// blockBytes returns the size of block i.
func blockBytes(i int) int { return minBlockBytes << min(i, maxBlockDoublings) }
