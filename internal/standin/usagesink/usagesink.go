// Package usagesink is a stand-in for the platform's interface for usage
// reports. A Sink is a backing.UsageSink itself and also serves the wire
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

// Options configure a Sink.
type Options struct {
	// Seed fixes which answers the fault switch loses.
	Seed uint64
}

// Sink takes usage reports.
type Sink struct {
	switches *fault.Switch
	reports  record.Log[Report]

	// mu guards all below.
	mu    sync.Mutex
	pages map[page]uint64
}

type page struct {
	window      string
	shard, page int
}

var _ backing.UsageSink = (*Sink)(nil)

// New returns an empty sink.
func New(o Options) *Sink {
	return &Sink{switches: fault.New(o.Seed), pages: make(map[page]uint64)}
}

// Report is one report that the sink received.
type Report struct {
	At time.Time `json:"at"`
	backing.UsageReport
	// Repeat is true if the page was reported before with the same body,
	// Conflict if with another one.
	Repeat   bool `json:"repeat,omitempty"`
	Conflict bool `json:"conflict,omitempty"`
}

// Report implements backing.UsageSink.
func (s *Sink) Report(_ context.Context, r backing.UsageReport) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := page{window: r.Window, shard: r.Shard, page: r.Page}
	hash := xxhash.Sum64(r.Body)
	before, reported := s.pages[key]
	conflict := reported && before != hash
	s.reports.Add(Report{
		At: time.Now(), UsageReport: r, Repeat: reported && !conflict, Conflict: conflict,
	})
	if conflict {
		return errors.Wrapf(backing.ErrRejected, "page %v was reported with another body", key)
	}
	s.pages[key] = hash
	return nil
}

// Record returns all reports received, refused ones included.
func (s *Sink) Record() []Report { return s.reports.All() }

// Handler returns the HTTP API.
func (s *Sink) Handler() http.Handler {
	r := mux.NewRouter()
	s.switches.Register(r)
	r.HandleFunc("/v1/usage", s.switches.Wrap(s.serveReport)).Methods(http.MethodPost)
	r.HandleFunc("/record", func(w http.ResponseWriter, _ *http.Request) {
		jsonhttp.Write(w, s.Record())
	}).Methods(http.MethodGet)
	return r
}

func (s *Sink) serveReport(w http.ResponseWriter, r *http.Request) {
	var report backing.UsageReport
	if jsonhttp.Read(w, r, &report) {
		jsonhttp.Answer(w, struct{}{}, s.Report(r.Context(), report))
	}
}
