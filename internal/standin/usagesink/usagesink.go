// Package usagesink is a stand-in for the platform interface that receives
// usage reports. A Sink implements backing.UsageSink and also serves the wire
// format of backing.HTTPUsageSink.
package usagesink

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/standin/fault"
	"github.com/acacialink/acacialink/internal/standin/jsonhttp"
	"github.com/acacialink/acacialink/internal/standin/record"
	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"
	"github.com/pkg/errors"
)

// Options configures a Sink.
type Options struct {
	// Seed makes the choice of responses lost by the fault switch reproducible.
	Seed uint64
}

// Sink receives usage reports. It is safe for concurrent use.
type Sink struct {
	faults  *fault.Switch
	reports record.Log[Report]

	// mu guards the fields below.
	mu sync.Mutex
	// pageHashes holds the xxhash of the body of each accepted page.
	pageHashes map[pageKey]uint64
}

// pageKey identifies a page of a usage report.
type pageKey struct {
	window      string
	shard, page int
}

var _ backing.UsageSink = (*Sink)(nil)

// New returns an empty sink.
func New(o Options) *Sink {
	return &Sink{faults: fault.New(o.Seed), pageHashes: make(map[pageKey]uint64)}
}

// Report is a received usage report.
type Report struct {
	At time.Time `json:"at"`
	backing.UsageReport
	// Repeat reports whether the page was reported before with the same body.
	Repeat bool `json:"repeat,omitempty"`
	// Conflict reports whether the page was reported before with a different
	// body.
	Conflict bool `json:"conflict,omitempty"`
}

// Report implements backing.UsageSink. It refuses a page that was reported
// before with a different body.
func (s *Sink) Report(_ context.Context, r backing.UsageReport) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := pageKey{window: r.Window, shard: r.Shard, page: r.Page}
	hash := xxhash.Sum64(r.Body)
	previous, reported := s.pageHashes[key]
	conflict := reported && previous != hash
	s.reports.Add(Report{
		At: time.Now(), UsageReport: r, Repeat: reported && !conflict, Conflict: conflict,
	})
	if conflict {
		return errors.Wrapf(backing.ErrRejected, "page %v was reported with another body", key)
	}
	s.pageHashes[key] = hash
	return nil
}

// Record returns all reports received, including refused ones.
func (s *Sink) Record() []Report { return s.reports.All() }

// Handler returns the HTTP API.
func (s *Sink) Handler() http.Handler {
	r := mux.NewRouter()
	s.faults.Register(r)
	r.HandleFunc("/v1/usage", s.faults.Wrap(s.serveReport)).Methods(http.MethodPost)
	r.HandleFunc("/record", func(w http.ResponseWriter, _ *http.Request) {
		jsonhttp.Write(w, s.Record())
	}).Methods(http.MethodGet)
	return r
}

func (s *Sink) serveReport(w http.ResponseWriter, r *http.Request) {
	var report backing.UsageReport
	if jsonhttp.Read(w, r, &report) {
		jsonhttp.WriteResult(w, struct{}{}, s.Report(r.Context(), report))
	}
}
