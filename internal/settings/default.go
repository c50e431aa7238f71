package settings

import "time"

// Values of the field "kind".
const (
	// KindEntry marks the settings of an entry host process.
	KindEntry = "entry"
	// KindAgent marks the settings of an agent process.
	KindAgent = "agent"
)

// Units for sizes and durations.
const (
	kib = 1 << 10
	mib = 1 << 20

	millisecond = Duration(time.Millisecond)
	second      = Duration(time.Second)
	minute      = Duration(time.Minute)
)

// DefaultEntry returns the default settings of an entry host process. Names,
// addresses, certificates and operators have no default.
func DefaultEntry() Entry {
	return Entry{
		Kind:     KindEntry,
		Limits:   defaultEntryLimits(),
		Timeouts: defaultEntryTimeouts(),
		Lease:    Lease{TTL: 8 * second, RenewInterval: 2 * second, Margin: second, OrderDeadline: 2 * second},
		Membership: Membership{
			Exchange: second, Fanout: 2, Suspect: 5 * second,
			HostList: 5 * second, Watchers: 2,
		},
		Quota:   Quota{BasePercent: 50},
		Usage:   Usage{Window: minute, Flush: 2 * second, SettlingDelay: 10 * second, Shards: 32, PageBytes: 900_000},
		Routing: Routing{Policy: "predicted"},
		Role: Role{
			Mode:     "steady",
			Interval: 2 * second, MinChangeInterval: minute,
			StaleReport: 5 * second,
		},
		Pool: Pool{Interval: 5 * second, ReturnDelay: 10 * minute, OrdersInFlight: 4},
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
		AnswerBytes:       512 * mib,
		SessionStreams:    512,
		SessionQueueBytes: 16 * mib,
		QueueInteractive:  2000,
		QueueStandard:     2000,
		QueueBatch:        2000,
		PeerMessageBytes:  4 * mib,
		PeerConnections:   4096,
		Watches:           256,
	}
}

func defaultEntryTimeouts() EntryTimeouts {
	return EntryTimeouts{
		Header:         5 * second,
		Body:           30 * second,
		Idle:           2 * minute,
		Write:          30 * second,
		Queue:          30 * second,
		FirstToken:     30 * second,
		BetweenTokens:  10 * second,
		Call:           10 * second,
		Drain:          2 * minute,
		DrainNotice:    2 * second,
		Heartbeat:      500 * millisecond,
		SilenceTimeout: 2 * second,
		Dial:           dialTimeout,
		ReconnectMin:   50 * millisecond,
		ReconnectMax:   3 * second,
	}
}

// dialTimeout is the default timeout for opening a connection within a site.
const dialTimeout = 500 * millisecond

// DefaultAgent returns the default settings of an agent process. Names,
// addresses, certificates, operators, endpoint and store have no default.
func DefaultAgent() Agent {
	return Agent{
		Kind: KindAgent,
		Limits: AgentLimits{
			Connections:       4096,
			Streams:           2048,
			MessageBytes:      16 * mib,
			SessionQueueBytes: 16 * mib,
			KVBytes:           64 * mib,
			ResponseBytes:     8 * mib,
			AnswerBytes:       1024 * mib,
			CacheEvents:       256,
		},
		Timeouts: AgentTimeouts{
			Heartbeat:      500 * millisecond,
			SilenceTimeout: 2 * second,
			LoadInterval:   250 * millisecond,
			Dial:           dialTimeout,
			Call:           minute,
			Order:          10 * minute,
			Drain:          2 * minute,
		},
	}
}
