package termination

import (
	"sync"
	"time"
)

const (
	// Gains of the mean and of the mean deviation, and the number of deviations above the
	// mean, as in RFC 6298.
	meanGain, deviationGain = 8, 4
	usualDeviations         = 4
)

// Durations estimates how long kinds of work usually take. It is safe for concurrent use.
type Durations[K comparable] struct {
	// Least is the number of observations of a kind from which on its estimate counts.
	Least int

	mu    sync.Mutex // guards kinds
	kinds map[K]*duration
}

type duration struct {
	mean, deviation time.Duration
	observed        int
}

// maxKinds bounds the kinds that are known: configurations may name new ones without end.
const maxKinds = 4096

// Observe records how long work of a kind took.
func (d *Durations[K]) Observe(kind K, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	known, ok := d.kinds[kind]
	if !ok {
		if d.kinds == nil || len(d.kinds) >= maxKinds {
			d.kinds = make(map[K]*duration)
		}
		d.kinds[kind] = &duration{mean: took, deviation: took / 2, observed: 1}
		return
	}
	known.observed++
	difference := took - known.mean
	known.deviation += (difference.Abs() - known.deviation) / deviationGain
	known.mean += difference / meanGain
}

// Usual returns a time within which work of a kind usually ends; false if too little of it was
// observed.
func (d *Durations[K]) Usual(kind K) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	known, ok := d.kinds[kind]
	if !ok || known.observed < d.Least {
		return 0, false
	}
	return known.mean + usualDeviations*known.deviation, true
}
