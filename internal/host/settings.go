package host

import "time"

// Settings configure a host. A duration of zero stands for its default.
type Settings struct {
	Name, Domain string
	// Callers, Ready and Peers are the addresses to listen on.
	Callers, Ready, Peers string
	// FirstStart is true when the whole deployment starts for the first time.
	FirstStart bool
	// ConfigApply is how soon a change of the configuration is in force, Drain
	// how soon a leaving endpoint gets no more requests.
	ConfigApply, Drain time.Duration
	// Revoke is how soon a removed key is refused, on every host.
	Revoke time.Duration
	// Returned is how long endpoints may need to be listed again after an
	// outage of the store.
	Returned time.Duration
	// Grace is the time from the order to stop to the end of the process.
	Grace time.Duration
	// RetryRatio, RetryWindow and RetrySlack bound repeated sends over all hosts.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// QuotaOverage is the share, and QuotaSlack the tokens, by which all hosts
	// together may go over a workspace's rate and burst.
	QuotaOverage, QuotaSlack float64
	// QuotaWindow is the span in which a workspace may use its rate and burst.
	QuotaWindow time.Duration
	// Lease is the time in which holders of duties must not take turns.
	Lease time.Duration
	// UsageWindow is the length of a usage window.
	UsageWindow time.Duration
}

// The defaults, for deployments that do not state a bound: those of a small one.
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

func (s Settings) withDefaults() Settings {
	for _, d := range []struct {
		value    *time.Duration
		standard time.Duration
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
			*d.value = d.standard
		}
	}
	return s
}
