package backing

import "context"

// HostState is the platform's view of a host.
type HostState string

// The states of a host in the platform's list.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is one line of the platform's list of hosts.
type Host struct {
	Name   string    `json:"name"`
	Domain string    `json:"domain"`
	State  HostState `json:"state"`
	// Address is where the acacialink process of the host listens.
	Address string `json:"address"`
}

// HostList is the platform's list of live and leaving hosts. It lags.
type HostList interface {
	Hosts(ctx context.Context) ([]Host, error)
}
