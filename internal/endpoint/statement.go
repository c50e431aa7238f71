package endpoint

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
}
