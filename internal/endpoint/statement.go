package endpoint

import "time"

// Departure is an incarnation of an endpoint that stated that it leaves.
type Departure struct {
	StartedAtMS int64
	// At is when the response came that stated it.
	At time.Time
}

// StatedLoad is what an endpoint states of its load.
type StatedLoad struct {
	// Running and Waiting are the requests that it runs and that wait there. Slots is how many
	// it runs at once.
	Running, Waiting, Slots int
	// Slowness is how long work takes there at the moment, in times of what is usual: others
	// may use its machine.
	Slowness float64
}

// LoadReport is a StatedLoad of an incarnation of an endpoint, as told to peers.
type LoadReport struct {
	StartedAtMS int64
	StatedLoad
	// At is when the response came that stated it.
	At time.Time
}

// Start is an incarnation of an endpoint that has just started, recovered or changed its stage.
type Start struct {
	StartedAtMS int64
	// At is when a host first saw it so.
	At time.Time
}

// Statement is what a response states about its endpoint.
type Statement struct {
	// PerSecond is the rate of requests that the endpoint takes from all hosts together;
	// 0 if it states none. RateErr is set instead if the rate makes no sense.
	PerSecond float64
	RateErr   error
	// Leaving reports whether the endpoint leaves. LeavingErr is set instead if the
	// statement makes no sense.
	Leaving    bool
	LeavingErr error
	// Pause is the time from the response on in which the endpoint wants nothing from this
	// host; 0 if it states none. PauseErr is set instead if the time makes no sense.
	Pause    time.Duration
	PauseErr error
	// Load is what the endpoint states of its load; nil if it states nothing. LoadErr is set
	// instead if that makes no sense.
	Load    *StatedLoad
	LoadErr error
}
