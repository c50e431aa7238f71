package member

import "time"

// Config is what a table needs to know at its start.
type Config struct {
	// Name, Domain and Address are the process's own: Address is where its
	// peers reach it.
	Name, Domain, Address string
	// Incarnation differs for each start of the process.
	Incarnation string
	// Seeds are addresses of some entry hosts.
	Seeds []string
	// Period is the time between two calls of Tick.
	Period time.Duration
	// Fanout is how many peers are called each time.
	Fanout int
	// Suspect is the silence after which an endpoint is suspected, and the
	// time after which a suspect is gone.
	Suspect time.Duration
	// HostList is the time between reads of the platform's host list, over
	// all entry hosts together.
	HostList time.Duration
	// Watchers is how many entry hosts watch each endpoint.
	Watchers int
	// Seed seeds the choice of peers.
	Seed uint64
}

// Bounds of the table and its messages.
const (
	maxMembers   = 4096
	maxEndpoints = 16384
	maxHosts     = 32768
	maxSeeds     = 1024
	// maxText bounds each text of a record, in bytes, and maxTexts the models
	// and the adapters of one endpoint.
	maxText  = 128
	maxTexts = 64
	// deltaBytes bounds the changes in one message, wantBytes the records sent
	// because they were asked for, offerBytes those that a comparison pushes.
	deltaBytes = 500
	wantBytes  = 32 << 10
	offerBytes = 4 << 10
	// maxDigests bounds the digests in one message.
	maxDigests = 2000
	// maxPart bounds each list that is read from a message.
	maxPart = 8192
)

// Numbers of buckets, rounds and sends.
const (
	// leastSends and mostSends bound how often each host passes a change on;
	// between them it is the logarithm of the members.
	leastSends = 2
	mostSends  = 6
	buckets    = 128
	// compareEvery is how many ticks pass between comparisons of checksums.
	compareEvery = 10
	// probeEvery is how many ticks pass between calls to members that are
	// gone or were never heard.
	probeEvery = 5
)

// Times of the table.
const (
	// forget is how long a gone member is remembered.
	forget = time.Hour
	// unconfigured is how long a record lives without its endpoint in the
	// configuration.
	unconfigured = 10 * time.Minute
	// unwatch is how long a watch goes on after another host took it over.
	unwatch = 30 * time.Second
	// settled is the age from which a process believes that a newer one of
	// its name has replaced it.
	settled = 10 * time.Second
	// isolatedAfter is how long a host that reaches nobody still takes the
	// others for live.
	isolatedAfter = 30 * time.Second
	// maxHold is the longest time between suspicions of one endpoint by one
	// host.
	maxHold = 10 * time.Minute
	// rewatch is the least time between two distributions of watches.
	rewatch = time.Second
	// authorDelay is how long each further watcher leaves the word to the one
	// before it.
	authorDelay = time.Second
	// bystanderDelay is how long hosts that do not watch an endpoint leave
	// the word to those that do; up to as much again is added by name.
	bystanderDelay = 5 * time.Second
)
