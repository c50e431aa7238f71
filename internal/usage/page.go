package usage

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// Page is one reported page of a sealed window, as JSON.
type Page struct {
	// Window is the start of the window in RFC 3339.
	Window string `json:"window"`
	// Seconds is the window's length.
	Seconds int64   `json:"seconds"`
	Shard   int     `json:"shard"`
	Page    int     `json:"page"`
	Pages   int     `json:"pages"`
	Lines   []entry `json:"lines"`
}

// encodedPage is a page's bytes with the hash that names them.
type encodedPage struct {
	hash string
	body []byte
}

// pageHead is room for the fields of a page besides its lines, in bytes.
const pageHead = 256

// encodePages splits a window into pages below the bound. The same lines
// always give the same bytes.
func encodePages(s Settings, shard int, w Window, l lines) ([]encodedPage, error) {
	groups, err := groupLines(l.sorted(), s.PageBytes-pageHead)
	if err != nil {
		return nil, err
	}
	pages := make([]encodedPage, 0, len(groups))
	for i, group := range groups {
		body, err := json.Marshal(Page{
			Window:  windowName(w),
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

// groupLines splits lines into groups whose JSON is below the bound.
func groupLines(all []entry, bound int) ([][]entry, error) {
	var groups [][]entry
	var group []entry
	size := 0
	for _, e := range all {
		value, err := json.Marshal(e)
		if err != nil {
			return nil, errors.Wrap(err, "encode usage line")
		}
		if size+len(value)+1 > bound && len(group) > 0 {
			groups = append(groups, group)
			group, size = nil, 0
		}
		group = append(group, e)
		size += len(value) + 1
	}
	return append(groups, group), nil
}

func windowName(w Window) string { return time.Unix(int64(w), 0).UTC().Format(time.RFC3339) }
