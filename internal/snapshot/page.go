package snapshot

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/resource"
)

// page is one part of a full snapshot. Pages are stored as gzip-compressed JSON.
type page struct {
	Revision resource.Revision   `json:"revision"`
	Index    int                 `json:"index"`
	Count    int                 `json:"count"`
	Voters   VoterList           `json:"voters"`
	Items    []resource.Resource `json:"items"`
}

// maxPageRawBytes limits a page before compression, so that even an
// incompressible page is below the store's limit.
const maxPageRawBytes = 800 << 10

// encodePages encodes the whole view as pages. There is at least one page.
func encodePages(v *View) ([][]byte, error) {
	groups := groupItems(v)
	pages := make([][]byte, 0, len(groups))
	for i, items := range groups {
		p := page{Revision: v.revision, Index: i, Count: len(groups), Voters: v.voters, Items: items}
		value, err := p.encode()
		if err != nil {
			return nil, err
		}
		pages = append(pages, value)
	}
	return pages, nil
}

// groupItems splits the resources of the view into groups of at most
// maxPageRawBytes each. A larger resource is a group of its own.
func groupItems(v *View) [][]resource.Resource {
	groups := [][]resource.Resource{nil}
	size := 0
	for _, kind := range slices.Sorted(maps.Keys(v.kinds)) {
		for _, r := range v.kinds[kind].all() {
			n := itemBytes(r)
			if size+n > maxPageRawBytes && size > 0 {
				groups = append(groups, nil)
				size = 0
			}
			last := len(groups) - 1
			groups[last] = append(groups[last], r)
			size += n
		}
	}
	return groups
}

// itemBytes returns an upper bound of the JSON size of a resource.
func itemBytes(r resource.Resource) int {
	const fieldBytes = 128
	return len(r.Spec) + 6*len(r.Name) + fieldBytes
}

func (p page) encode() ([]byte, error) {
	var buf bytes.Buffer
	w, err := gzip.NewWriterLevel(&buf, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress page")
	}
	if err := json.NewEncoder(w).Encode(p); err != nil {
		return nil, errors.Wrap(err, "encode page")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress page")
	}
	return buf.Bytes(), nil
}

func decodePage(value []byte) (page, error) {
	const maxRaw = 4 * maxPageRawBytes
	r, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return page{}, errors.Wrap(ErrEncoding, err.Error())
	}
	var p page
	if err := json.NewDecoder(io.LimitReader(r, maxRaw)).Decode(&p); err != nil {
		return page{}, errors.Wrap(ErrEncoding, err.Error())
	}
	return p, nil
}

// decodePages decodes the view that encodePages encoded. It returns ErrEncoding
// if pages are missing or belong to different snapshots.
func decodePages(values [][]byte) (*View, error) {
	next := *Empty()
	b := builder{view: &next}
	for i, value := range values {
		p, err := decodePage(value)
		if err != nil {
			return nil, err
		}
		if p.Index != i || p.Count != len(values) || (i > 0 && p.Revision != next.revision) {
			return nil, errors.Wrapf(ErrEncoding, "page %d of %d at revision %d", p.Index, p.Count, p.Revision)
		}
		next.revision = p.Revision
		next.voters = p.Voters
		for _, r := range p.Items {
			if err := b.put(Item{Resource: r}); err != nil {
				return nil, err
			}
		}
	}
	b.finish()
	return &next, nil
}
