package observe

import (
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of a histogram: values in microseconds, two significant digits.
const (
	histogramMax    = int64(time.Hour / time.Microsecond)
	histogramDigits = 2
	histogramShards = 4
)

// recentWindow is the length of the window behind the recent figures, which
// cover the current and the last full window.
const recentWindow = time.Minute

// Histogram counts latencies. It is safe for concurrent use and keeps all
// since the start, and apart from that the last one to two minutes.
type Histogram struct {
	shards [histogramShards]histogramShard
}

// histogramShard is a part of a histogram with its own lock.
type histogramShard struct {
	mu       sync.Mutex // guards all below
	total    *hdrhistogram.Histogram
	current  *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
	window   int64
	// max is the largest value in microseconds, past histogramMax as well.
	max int64
}

// Latencies is a reading of a histogram. Times are in milliseconds.
type Latencies struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// HistogramReading is what a histogram publishes.
type HistogramReading struct {
	Total  Latencies `json:"total"`
	Recent Latencies `json:"recent"`
}

func newHistogram() *Histogram {
	h := &Histogram{}
	for i := range h.shards {
		h.shards[i].total = newHDR()
		h.shards[i].current = newHDR()
		h.shards[i].previous = newHDR()
	}
	return h
}

func newHDR() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramDigits)
}

// Record counts one latency. Values above an hour count as an hour.
func (h *Histogram) Record(d time.Duration) {
	window := time.Now().UnixNano() / int64(recentWindow)
	s := &h.shards[rand.Uint32()%histogramShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(window)
	micros := max(1, d.Microseconds())
	s.max = max(s.max, micros)
	_ = s.current.RecordValue(min(micros, histogramMax)) // Within its bounds.
}

// rotate ends windows that are over. The caller holds mu.
func (s *histogramShard) rotate(window int64) {
	if window == s.window {
		return
	}
	s.total.Merge(s.current)
	s.previous, s.current = s.current, s.previous
	s.current.Reset()
	if window != s.window+1 {
		s.previous.Reset()
	}
	s.window = window
}

// Read returns the figures of now.
func (h *Histogram) Read() HistogramReading {
	window := time.Now().UnixNano() / int64(recentWindow)
	total, recent := newHDR(), newHDR()
	largest := int64(0)
	for i := range h.shards {
		h.shards[i].addTo(window, total, recent)
		largest = max(largest, h.shards[i].largest())
	}
	reading := HistogramReading{Total: latencies(total), Recent: latencies(recent)}
	reading.Total.Max = milliseconds(largest)
	return reading
}

func (s *histogramShard) addTo(window int64, total, recent *hdrhistogram.Histogram) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(window)
	total.Merge(s.total)
	total.Merge(s.current)
	recent.Merge(s.previous)
	recent.Merge(s.current)
}

func (s *histogramShard) largest() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.max
}

// String implements expvar.Var.
func (h *Histogram) String() string {
	text, _ := json.Marshal(h.Read()) // Numbers only: can't fail.
	return string(text)
}

func latencies(h *hdrhistogram.Histogram) Latencies {
	return Latencies{
		Count: h.TotalCount(),
		P50:   milliseconds(h.ValueAtQuantile(50)),
		P95:   milliseconds(h.ValueAtQuantile(95)),
		P99:   milliseconds(h.ValueAtQuantile(99)),
		Max:   milliseconds(h.Max()),
	}
}

// milliseconds converts from microseconds.
func milliseconds(micros int64) float64 { return float64(micros) / 1000 }
