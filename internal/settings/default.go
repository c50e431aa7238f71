package settings

import "time"

// Kinds of settings files.
const (
	// KindEntry is the kind of an entry host process's settings.
	KindEntry = "entry"
	// KindAgent is the kind of an agent process's settings.
	KindAgent = "agent"
)

// Units of the defaults.
const (
	kib = 1 << 10
	mib = 1 << 20

	millisecond = Duration(time.Millisecond)
	second      = Duration(time.Second)
	minute      = Duration(time.Minute)
)

// DefaultEntry returns the defaults of an entry host process. Names,
// addresses, certificates and operators have none.
func DefaultEntry() Entry {
	return Entry{
		Kind:      KindEntry,
		Limits:    defaultEntryLimits(),
		Timeouts:  defaultEntryTimeouts(),
		Freshness: Freshness{Window: 3 * second, Confirm: 800 * millisecond, Margin: 200 * millisecond},
		Lease:     Lease{TTL: 8 * second, Renew: 2 * second, Margin: second, OrderDeadline: 2 * second},
		Member: Member{
			Exchange: second, Fanout: 2, Suspect: 5 * second,
			HostList: 5 * second, Watchers: 2,
		},
		Quota:   Quota{Shards: 16, Grant: 2 * second, Interval: 200 * millisecond, BasePercent: 50},
		Usage:   Usage{Window: minute, Flush: 2 * second, Settle: 10 * second, Shards: 4, PageBytes: 900_000},
		Routing: Routing{Policy: "predicted"},
		Role: Role{
			Mode:     "steady",
			Interval: 2 * second, Hold: minute,
			StaleReport: 5 * second, ParallelChanges: 1,
		},
		Pool: Pool{Interval: 5 * second, ReturnAfter: 10 * minute, OrdersInFlight: 4},
	}
}

func defaultEntryLimits() EntryLimits {
	return EntryLimits{
		BodyBytes:         8 * mib,
		HeaderBytes:       32 * kib,
		PromptBytes:       4 * mib,
		ResponseBytes:     8 * mib,
		StreamBufferBytes: 256 * kib,
		Connections:       10_000,
		OpenRequests:      4096,
		BufferedBytes:     512 * mib,
		SessionStreams:    512,
		SessionQueueBytes: 16 * mib,
		QueueInteractive:  512,
		QueueStandard:     1024,
		QueueBatch:        1024,
		QueueWorkspace:    512,
		PeerMessageBytes:  4 * mib,
		CacheEntries:      4096,
		Watches:           256,
	}
}

func defaultEntryTimeouts() EntryTimeouts {
	return EntryTimeouts{
		Header:        5 * second,
		Body:          30 * second,
		Idle:          2 * minute,
		Write:         30 * second,
		Queue:         30 * second,
		FirstToken:    30 * second,
		BetweenTokens: 10 * second,
		Call:          10 * second,
		Drain:         2 * minute,
		DrainNotice:   2 * second,
		Heartbeat:     500 * millisecond,
		Silent:        2 * second,
		Dial:          dialTimeout,
		ReconnectMin:  50 * millisecond,
		ReconnectMax:  2 * second,
		Store:         second,
		Platform:      5 * second,
	}
}

// dialTimeout is the time allowed for opening a connection within a site.
const dialTimeout = 500 * millisecond

// DefaultAgent returns the defaults of an agent process. Names, addresses,
// certificates, operators, endpoint and store have none.
func DefaultAgent() Agent {
	return Agent{
		Kind: KindAgent,
		Limits: AgentLimits{
			Sessions:          512,
			Streams:           2048,
			MessageBytes:      16 * mib,
			ResponseBytes:     8 * mib,
			SessionQueueBytes: 16 * mib,
			KVBytes:           64 * mib,
			CacheEvents:       4096,
		},
		Timeouts: AgentTimeouts{
			Heartbeat: 500 * millisecond,
			Silent:    2 * second,
			Load:      250 * millisecond,
			Dial:      dialTimeout,
			Token:     30 * second,
			Call:      30 * second,
			Order:     10 * minute,
			Drain:     2 * minute,
			Store:     second,
		},
	}
}
