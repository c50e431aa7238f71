package backing

import "context"

// HostState is the state of a host as reported by the platform.
type HostState string

// The states of a host.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is one entry of the platform's host list.
type Host struct {
	Name   string    `json:"name"`
	Domain string    `json:"domain"`
	State  HostState `json:"state"`
	// Address is the listen address of the acacialink process on the host.
	Address string `json:"address"`
}

// HostList is the platform's list of live and leaving hosts. It lags behind the
// actual state.
type HostList interface {
	Hosts(ctx context.Context) ([]Host, error)
}
