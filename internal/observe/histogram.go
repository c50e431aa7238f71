package observe

import (
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Parameters of a histogram.
const (
	// histogramMax is the highest trackable value, in microseconds.
	histogramMax = int64(time.Hour / time.Microsecond)
	// histogramDigits is the number of significant decimal digits.
	histogramDigits = 2
	histogramShards = 4
)

// recentWindowLength is the length of one window. The recent values cover the
// current window and the previous one.
const recentWindowLength = time.Minute

// Histogram records latencies: in total since the start, and separately over the
// last one to two minutes. It is safe for concurrent use.
type Histogram struct {
	shards [histogramShards]histogramShard
}

// histogramShard is a shard of a histogram with its own lock.
type histogramShard struct {
	mu          sync.Mutex // guards the fields below
	total       *hdrhistogram.Histogram
	current     *hdrhistogram.Histogram
	previous    *hdrhistogram.Histogram
	windowIndex int64
	// max is the largest recorded value in microseconds; it may exceed
	// histogramMax.
	max int64
}

// Latencies summarizes recorded latencies. Times are in milliseconds.
type Latencies struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// HistogramSnapshot is a snapshot of a histogram, as published in /debug/vars.
type HistogramSnapshot struct {
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

// Record records one latency. Values above one hour are recorded as one hour,
// except in the maximum of the total.
func (h *Histogram) Record(d time.Duration) {
	windowIndex := time.Now().UnixNano() / int64(recentWindowLength)
	shard := &h.shards[rand.Uint32()%histogramShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.rotate(windowIndex)
	micros := max(1, d.Microseconds())
	shard.max = max(shard.max, micros)
	_ = shard.current.RecordValue(min(micros, histogramMax)) // The value is in range.
}

// rotate closes the current window if it has ended. The caller must hold mu.
func (s *histogramShard) rotate(windowIndex int64) {
	if windowIndex == s.windowIndex {
		return
	}
	s.total.Merge(s.current)
	s.previous, s.current = s.current, s.previous
	s.current.Reset()
	if windowIndex != s.windowIndex+1 {
		s.previous.Reset()
	}
	s.windowIndex = windowIndex
}

// Snapshot returns a snapshot of the histogram.
func (h *Histogram) Snapshot() HistogramSnapshot {
	windowIndex := time.Now().UnixNano() / int64(recentWindowLength)
	total, recent := newHDR(), newHDR()
	maxMicros := int64(0)
	for i := range h.shards {
		h.shards[i].addTo(windowIndex, total, recent)
		maxMicros = max(maxMicros, h.shards[i].readMaxMicros())
	}
	snapshot := HistogramSnapshot{Total: summarize(total), Recent: summarize(recent)}
	snapshot.Total.Max = milliseconds(maxMicros)
	return snapshot
}

func (s *histogramShard) addTo(windowIndex int64, total, recent *hdrhistogram.Histogram) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(windowIndex)
	total.Merge(s.total)
	total.Merge(s.current)
	recent.Merge(s.previous)
	recent.Merge(s.current)
}

func (s *histogramShard) readMaxMicros() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.max
}

// String implements expvar.Var.
func (h *Histogram) String() string {
	text, _ := json.Marshal(h.Snapshot()) // Cannot fail: it contains only numbers.
	return string(text)
}

func summarize(h *hdrhistogram.Histogram) Latencies {
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
