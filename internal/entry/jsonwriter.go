package entry

import (
	"io"
	"unicode/utf8"
)

const (
	// maxWriteBytes is the size of the buffer through which long texts are written.
	maxWriteBytes = 16 << 10
	// maxEscapedBytes is the size of a byte of text in JSON at most.
	maxEscapedBytes = 6
	// minPieceBytes is the least that is encoded at once of a text that does not fit.
	minPieceBytes = 256
)

// writeBytes returns the size of the buffer for a text of n bytes.
func writeBytes(n int) int { return min(maxEscapedBytes*n, maxWriteBytes) }

// jsonWriter writes JSON through a buffer, so that a long text is never encoded whole.
// The first error ends it.
type jsonWriter struct {
	w   io.Writer
	buf []byte
	err error
}

// grow makes room for n bytes, at most maxWriteBytes, in an empty buffer.
func (j *jsonWriter) grow(n int) {
	if n > cap(j.buf) {
		j.buf = make([]byte, 0, min(n, maxWriteBytes))
	}
}

// raw writes b as it is.
func (j *jsonWriter) raw(b []byte) {
	if len(j.buf)+len(b) > cap(j.buf) {
		j.flush()
	}
	j.buf = append(j.buf, b...)
}

// text writes a part of a JSON string, without quotes.
func (j *jsonWriter) text(text string) {
	for j.err == nil && len(text) > 0 {
		n := (cap(j.buf) - len(j.buf)) / maxEscapedBytes
		if n < min(len(text), minPieceBytes) && len(j.buf) > 0 {
			j.flush()
			continue
		}
		if n = min(max(n, utf8.UTFMax), len(text)); n < len(text) {
			n = wholeRunes(text[:n])
		}
		j.buf = appendEscaped(j.buf, text[:n])
		text = text[n:]
	}
}

// flush writes what is in the buffer.
func (j *jsonWriter) flush() {
	if j.err == nil && len(j.buf) > 0 {
		_, j.err = j.w.Write(j.buf)
	}
	j.buf = j.buf[:0]
}

// wholeRunes returns the length of text without a rune that it only begins. It is above 0
// if text has utf8.UTFMax bytes.
func wholeRunes(text string) int {
	for i := len(text) - 1; i >= max(0, len(text)-utf8.UTFMax); i-- {
		if !utf8.RuneStart(text[i]) {
			continue
		}
		if utf8.FullRuneInString(text[i:]) {
			break
		}
		return i
	}
	return len(text)
}

const hexDigits = "0123456789abcdef"

// appendEscaped appends text as in a JSON string, without quotes. Bytes that are no UTF-8
// are replaced, and the line ends of Unicode escaped, as by json.Marshal.
func appendEscaped(b []byte, text string) []byte {
	copied := 0
	for i := 0; i < len(text); {
		c, size := text[i], 1
		r := rune(c)
		if c >= utf8.RuneSelf {
			r, size = utf8.DecodeRuneInString(text[i:])
		}
		if c >= ' ' && c != '"' && c != '\\' && r != '\u2028' && r != '\u2029' && (r != utf8.RuneError || size > 1) {
			i += size
			continue
		}
		b = append(b, text[copied:i]...)
		b = appendEscape(b, r)
		i += size
		copied = i
	}
	return append(b, text[copied:]...)
}

func appendEscape(b []byte, r rune) []byte {
	switch r {
	case '"', '\\':
		return append(b, '\\', byte(r))
	case '\n':
		return append(b, `\n`...)
	case '\r':
		return append(b, `\r`...)
	case '\t':
		return append(b, `\t`...)
	default:
		return append(b, '\\', 'u', hexDigits[r>>12], hexDigits[r>>8&0xf], hexDigits[r>>4&0xf], hexDigits[r&0xf])
	}
}

// appendJSONString appends text as a JSON string.
func appendJSONString(b []byte, text string) []byte {
	b = append(b, '"')
	b = appendEscaped(b, text)
	return append(b, '"')
}
