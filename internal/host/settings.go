package host

import "time"

// Settings configure a host. A duration that is zero or negative stands for its
// default.
type Settings struct {
	// Name is the host's name. Domain is its failure domain.
	Name, Domain string
	// CallerAddress is the TCP address that serves callers. OperatorAddress is the one
	// that serves readiness checks and metrics. PeerAddress is the one that serves
	// other hosts.
	CallerAddress, OperatorAddress, PeerAddress string
	// MemoryBytes is the hard memory limit of the process; 0 means none.
	MemoryBytes int64
	// Cores is the processor capacity of the host in cores; 0 if unknown.
	Cores float64
	// FirstStart reports whether the whole deployment starts for the first time.
	FirstStart bool
	// ConfigApplyBound is the time within which a configuration change must be in
	// force. EndpointDrainBound is the time after which a leaving endpoint must get no
	// more requests.
	ConfigApplyBound, EndpointDrainBound time.Duration
	// EvacuationBound is the time after which the endpoints of an evacuated failure domain
	// must get no more requests; 0 if domains are not evacuated.
	EvacuationBound time.Duration
	// ColdOverage and ColdSlack state how many requests of all hosts together a cold endpoint
	// tolerates in a second: ColdOverage times its rate plus ColdSlack.
	ColdOverage, ColdSlack float64
	// KeyRevocationBound is the time within which every host must refuse a removed API
	// key.
	KeyRevocationBound time.Duration
	// ReregistrationTimeout is the time that endpoints have to register again after a
	// store outage before missing ones are removed.
	ReregistrationTimeout time.Duration
	// GracePeriod is the time from the stop signal to the exit of the process.
	GracePeriod time.Duration
	// RetryRatio, RetryWindow and RetrySlack bound the retries of all hosts
	// together for each service: to RetryRatio times the requests in RetryWindow
	// plus RetrySlack.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// QuotaOverage is the fraction of a workspace's rate limit and burst by which all
	// hosts together may exceed them. QuotaSlack is the number of tokens by which they
	// may exceed them in addition.
	QuotaOverage, QuotaSlack float64
	// QuotaWindow is the sliding window for a workspace's rate limit and burst.
	QuotaWindow time.Duration
	// LeadershipReturnBound is the time within which control leadership must not return
	// to a host that lost it to another one.
	LeadershipReturnBound time.Duration
	// UsageWindow is the length of a usage window.
	UsageWindow time.Duration
}

// Defaults for durations that the settings do not state. They suit a small deployment.
const (
	defaultConfigApplyBound      = 2 * time.Second
	defaultEndpointDrainBound    = 2 * time.Second
	defaultKeyRevocationBound    = 5 * time.Second
	defaultReregistrationTimeout = 2 * time.Second
	defaultGracePeriod           = 8 * time.Second
	defaultRetryWindow           = 10 * time.Second
	defaultQuotaWindow           = 8 * time.Second
	defaultLeadershipReturnBound = 3 * time.Second
	defaultUsageWindow           = 5 * time.Second
)

// withDefaults returns the settings with defaults for durations that are not
// positive.
func (s Settings) withDefaults() Settings {
	for _, d := range []struct {
		value    *time.Duration
		fallback time.Duration
	}{
		{&s.ConfigApplyBound, defaultConfigApplyBound},
		{&s.EndpointDrainBound, defaultEndpointDrainBound},
		{&s.KeyRevocationBound, defaultKeyRevocationBound},
		{&s.ReregistrationTimeout, defaultReregistrationTimeout},
		{&s.GracePeriod, defaultGracePeriod},
		{&s.RetryWindow, defaultRetryWindow},
		{&s.QuotaWindow, defaultQuotaWindow},
		{&s.LeadershipReturnBound, defaultLeadershipReturnBound},
		{&s.UsageWindow, defaultUsageWindow},
	} {
		if *d.value <= 0 {
			*d.value = d.fallback
		}
	}
	return s
}
