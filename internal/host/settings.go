package host

import "time"

// Settings configure a host. A duration that is zero or negative stands for its
// default.
type Settings struct {
	// Name is the host's name and Domain its failure domain.
	Name, Domain string
	// Callers, Ready and Peers are the TCP addresses on which the host serves
	// callers, readiness checks and metrics, and other hosts.
	Callers, Ready, Peers string
	// FirstStart reports whether the whole deployment starts for the first time.
	FirstStart bool
	// ConfigApply is the time within which a configuration change must be in force.
	// Drain is the time within which a leaving endpoint must get no more requests.
	ConfigApply, Drain time.Duration
	// Revoke is the time within which every host must refuse a removed API key.
	Revoke time.Duration
	// Returned is the time that endpoints have to register again after a store
	// outage before missing ones are removed.
	Returned time.Duration
	// Grace is the time from the stop signal to the exit of the process.
	Grace time.Duration
	// RetryRatio, RetryWindow and RetrySlack bound the retries of all hosts
	// together for each service: to RetryRatio times the requests in RetryWindow
	// plus RetrySlack.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// QuotaOverage and QuotaSlack bound by how much all hosts together may exceed
	// a workspace's rate limit and burst: as a share of them, and in tokens.
	QuotaOverage, QuotaSlack float64
	// QuotaWindow is the sliding window for a workspace's rate limit and burst.
	QuotaWindow time.Duration
	// Lease is the time within which control leadership must not return to a host
	// that lost it to another one.
	Lease time.Duration
	// UsageWindow is the length of a usage window.
	UsageWindow time.Duration
}

// The defaults for deployments that state no bound suit a small deployment.
const (
	defaultConfigApply = 2 * time.Second
	defaultDrain       = 2 * time.Second
	defaultRevoke      = 5 * time.Second
	defaultReturned    = 2 * time.Second
	defaultGrace       = 8 * time.Second
	defaultRetryWindow = 10 * time.Second
	defaultQuotaWindow = 8 * time.Second
	defaultLease       = 3 * time.Second
	defaultUsageWindow = 5 * time.Second
)

// withDefaults returns the settings with defaults for durations that are not
// positive.
func (s Settings) withDefaults() Settings {
	for _, d := range []struct {
		value    *time.Duration
		fallback time.Duration
	}{
		{&s.ConfigApply, defaultConfigApply},
		{&s.Drain, defaultDrain},
		{&s.Revoke, defaultRevoke},
		{&s.Returned, defaultReturned},
		{&s.Grace, defaultGrace},
		{&s.RetryWindow, defaultRetryWindow},
		{&s.QuotaWindow, defaultQuotaWindow},
		{&s.Lease, defaultLease},
		{&s.UsageWindow, defaultUsageWindow},
	} {
		if *d.value <= 0 {
			*d.value = d.fallback
		}
	}
	return s
}
