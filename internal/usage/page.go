package usage

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// Page is one page of a sealed window, encoded as JSON for the report interface.
type Page struct {
	// Window is the start of the window in RFC 3339 format, UTC.
	Window string `json:"window"`
	// Seconds is the length of the window in seconds.
	Seconds int64 `json:"seconds"`
	Shard   int   `json:"shard"`
	// Page is the index of the page in its window, starting at 0.
	Page int `json:"page"`
	// Pages is the number of pages of the window in this shard.
	Pages int          `json:"pages"`
	Lines []lineRecord `json:"lines"`
}

// encodedPage is the encoding of a page and the hash it is stored under.
type encodedPage struct {
	hash string
	body []byte
}

// pageOverheadBytes is the space reserved in a page, in bytes, for all fields except
// the lines.
const pageOverheadBytes = 256

// encodePages encodes the lines of a window as pages of at most s.PageBytes bytes.
// The encoding is deterministic: equal lines give equal bytes.
func encodePages(s Settings, shard int, window Window, lines lines) ([]encodedPage, error) {
	groups, err := groupLines(lines.sorted(), s.PageBytes-pageOverheadBytes)
	if err != nil {
		return nil, err
	}
	pages := make([]encodedPage, 0, len(groups))
	for i, group := range groups {
		body, err := json.Marshal(Page{
			Window:  formatWindow(window),
			Seconds: int64(s.Window / time.Second),
			Shard:   shard,
			Page:    i,
			Pages:   len(groups),
			Lines:   group,
		})
		if err != nil {
			return nil, errors.Wrap(err, "encode usage page")
		}
		sum := sha256.Sum256(body)
		pages = append(pages, encodedPage{hash: hex.EncodeToString(sum[:16]), body: body})
	}
	return pages, nil
}

// groupLines splits lines into groups whose JSON encoding is at most maxBytes long. A
// line that exceeds maxBytes forms a group of its own.
func groupLines(lines []lineRecord, maxBytes int) ([][]lineRecord, error) {
	var groups [][]lineRecord
	var group []lineRecord
	size := 0
	for _, line := range lines {
		value, err := json.Marshal(line)
		if err != nil {
			return nil, errors.Wrap(err, "encode usage line")
		}
		if size+len(value)+1 > maxBytes && len(group) > 0 {
			groups = append(groups, group)
			group, size = nil, 0
		}
		group = append(group, line)
		size += len(value) + 1
	}
	return append(groups, group), nil
}

func formatWindow(window Window) string {
	return time.Unix(int64(window), 0).UTC().Format(time.RFC3339)
}
