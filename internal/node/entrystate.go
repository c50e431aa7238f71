package node

import "time"

// registerMetrics registers the process's gauges and the sections of its state dump.
func (e *Entry) registerMetrics() {
	stats := e.callers.Stats()
	gauges := map[string]func() int64{
		"requests":        stats.Requests.Load,
		"refused":         stats.Refused.Load,
		"unknown":         stats.MayHaveRun.Load,
		"tokens":          stats.Tokens.Load,
		"retries":         stats.Retries.Load,
		"resumed":         stats.Resumed.Load,
		"truncated":       stats.Truncated.Load,
		"split":           stats.Split.Load,
		"split_failed":    stats.SplitFailed.Load,
		"callers_gone":    stats.CallerDisconnects.Load,
		"replayed":        stats.Replayed.Load,
		"open_requests":   e.callers.OpenRequests,
		"usage_dropped":   e.recorder.Dropped,
		"usage_writes":    e.aggregator.Stats().Writes.Load,
		"usage_sealed":    e.aggregator.Stats().Sealed.Load,
		"usage_reported":  e.aggregator.Stats().Reported.Load,
		"lease_calls":     e.leases.Stats().Calls.Load,
		"lease_failures":  e.leases.Stats().Failures.Load,
		"rpc_late":        e.rpcStats.Late.Load,
		"rpc_crossed":     e.rpcStats.Mismatched.Load,
		"rpc_silent":      e.rpcStats.Silent.Load,
		"rpc_broken":      e.rpcStats.Ended.Load,
		"slow_callers":    e.rpcStats.SlowCallers.Load,
		"answer_bytes":    e.answers.Reserved,
		"answers_cut":     e.rpcStats.AnswersCut.Load,
		"answers_avoided": stats.Avoided.Load,
	}
	for name, read := range gauges {
		e.registry.NewGauge(name, func() any { return read() })
	}
	e.registry.RegisterState("config", func() any { return e.config.State() })
	e.registry.RegisterState("members", func() any { return e.members.Dump(time.Now()) })
	e.registry.RegisterState("endpoints", func() any { return e.fleet.States() })
	e.registry.RegisterState("pieces", func() any { return e.leases.Shards() })
	e.registry.RegisterState("holders", func() any { return e.leaseDirectory.All() })
	e.registry.RegisterState("quota_slots", func() any { return e.slots.Counts() })
	e.registry.RegisterState("quota", func() any { return e.quota.Stats() })
	e.registry.RegisterState("roles", func() any { return e.roles.States() })
	e.registry.RegisterState("pools", func() any { return e.pools.States() })
	e.registry.RegisterState("router", func() any { return e.router.Candidates() })
	e.registry.RegisterState("queues", func() any { return e.queues.Stats() })
}
