package member

import "time"

// Config configures a Table and its Exchanger.
type Config struct {
	// Name, Domain and Address describe this process: its entry host name,
	// its failure domain and the address at which peers reach it.
	Name, Domain, Address string
	// Incarnation is unique to each start of the process.
	Incarnation string
	// Seeds are the addresses of entry hosts to contact first.
	Seeds []string
	// Period is the interval between calls to Tick.
	Period time.Duration
	// Fanout is the number of peers called per tick.
	Fanout int
	// SuspectTimeout is the time without contact after which an endpoint becomes
	// suspect, and the further time after which a suspect becomes gone.
	SuspectTimeout time.Duration
	// HostListInterval is the interval between reads of the platform's host list,
	// counted over all entry hosts together.
	HostListInterval time.Duration
	// Watchers is the number of entry hosts that watch each endpoint.
	Watchers int
	// Seed seeds the random choice of peers.
	Seed uint64
}

// Limits of the table and its messages.
const (
	maxMembers   = 4096
	maxEndpoints = 16384
	maxHosts     = 32768
	maxSeeds     = 1024
	// maxTextBytes limits each string of a record.
	maxTextBytes = 128
	// maxTextCount limits the number of models, and of adapters, of one
	// endpoint.
	maxTextCount = 64
	// deltaBytes limits the gossiped changes in one message.
	deltaBytes = 500
	// requestedBytes limits the records in one message that the peer
	// requested.
	requestedBytes = 32 << 10
	// repairBytes limits the records in one message that anti-entropy pushes.
	repairBytes = 4 << 10
	// maxDigests limits the record digests in one message.
	maxDigests = 2000
	// maxListLength limits each list that is read from a message.
	maxListLength = 8192
)

// Parameters of gossip and anti-entropy.
const (
	// minSends and maxSends limit how often each host forwards a change.
	// Between them, the number of sends grows with the logarithm of the
	// number of members.
	minSends    = 2
	maxSends    = 6
	bucketCount = 128
	// compareTicks is the number of ticks between checksum comparisons.
	compareTicks = 10
	// probeTicks is the number of ticks between calls to peers that are gone
	// or were never reached.
	probeTicks = 5
)

// Timeouts and delays of the table.
const (
	// goneRetention is how long the record of a gone member is retained.
	goneRetention = time.Hour
	// unconfiguredRetention is how long the record of an endpoint that is not
	// in the configuration is retained.
	unconfiguredRetention = 10 * time.Minute
	// watchHandover is how long a host keeps watching an endpoint after other
	// hosts took over its watch.
	watchHandover = 30 * time.Second
	// minSupersedeAge is the uptime from which a newer record with another
	// incarnation means that this process was replaced. Before that, the
	// record may still stem from the process's predecessor and is refuted.
	minSupersedeAge = 10 * time.Second
	// isolationGrace is how long an isolated host still reports the last
	// known state of its peers.
	isolationGrace = 30 * time.Second
	// maxSuspicionBackoff is the longest delay between two suspicions of the
	// same endpoint by one host.
	maxSuspicionBackoff = 10 * time.Minute
	// minAssignInterval is the minimum time between two assignments of
	// watches.
	minAssignInterval = time.Second
	// watcherDelay is the delay per rank before a watcher publishes a change
	// that the watchers ranked before it have not published.
	watcherDelay = time.Second
	// nonWatcherDelay is the minimum delay before a host that does not watch
	// an endpoint publishes its change. Up to the same time again is added,
	// derived from a hash of both names.
	nonWatcherDelay = 5 * time.Second
)
