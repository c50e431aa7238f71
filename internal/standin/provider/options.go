package provider

import (
	"time"

	"github.com/acacialink/acacialink/internal/backing"
)

const (
	defaultStartTime = 30 * time.Second
	// returnedFor is how long returned endpoints stay in the list.
	returnedFor = time.Hour
)

// Options configure a Provider.
type Options struct {
	// StartTime is how long an ordered endpoint takes to run; zero means 30 s.
	StartTime time.Duration
	// ChecksFencing makes the provider refuse orders with an old fencing number.
	ChecksFencing bool
	// Start, when not nil, is called once an ordered endpoint's time has come
	// and returns its agent's address. Stop is called when it is returned.
	Start func(backing.EndpointOrder) string
	Stop  func(orderID string)
	// Seed fixes which answers the fault switch loses.
	Seed uint64
}
