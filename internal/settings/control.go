package settings

// Lease configures the leases on control work.
type Lease struct {
	// TTL is the lifetime of a lease that is not renewed.
	TTL Duration `json:"ttl" check:"min=500ms,max=5m"`
	// RenewInterval is the interval between lease renewals.
	RenewInterval Duration `json:"renew" check:"min=50ms,max=1m"`
	// Margin is the time before the expiry of a lease at which its owner stops using it.
	Margin Duration `json:"margin" check:"min=10ms,max=1m"`
	// OrderDeadline is the longest delivery time of an order.
	OrderDeadline Duration `json:"order_deadline" check:"min=10ms,max=1m"`
}

// Membership configures the membership table.
type Membership struct {
	// Exchange is the interval between gossip exchanges with random peers.
	Exchange Duration `json:"exchange" check:"min=50ms,max=1m"`
	// Fanout is the number of peers contacted in each exchange.
	Fanout int `json:"fanout" check:"min=1,max=16"`
	// Suspect is the time without contact after which an endpoint becomes suspect, and the
	// further time after which a suspect member is considered gone.
	Suspect Duration `json:"suspect" check:"min=500ms,max=10m"`
	// HostList is the interval between reads of the platform's host list.
	HostList Duration `json:"host_list" check:"min=100ms,max=10m"`
	// Watchers is the number of entry hosts that watch each endpoint.
	Watchers int `json:"watchers" check:"min=1,max=16"`
}

// Quota configures how the rates of workspaces are divided among entry hosts.
type Quota struct {
	// BasePercent is the percentage of each rate that is distributed as base shares.
	BasePercent int `json:"base_percent" check:"min=0,max=100"`
}

// Usage configures usage windows and usage reports.
type Usage struct {
	// Window is the length of one usage window.
	Window Duration `json:"window" check:"min=1s,max=24h"`
	// Flush is the longest time that usage counts exist on one host only.
	Flush Duration `json:"flush" check:"min=100ms,max=1m"`
	// SettlingDelay is how long after its end a window accepts late usage counts.
	SettlingDelay Duration `json:"settle" check:"min=100ms,max=1h"`
	// Shards is the number of shards that workspaces are distributed over.
	Shards int `json:"shards" check:"min=1,max=4096"`
	// PageBytes is the maximum size of one page of a sealed window.
	PageBytes int64 `json:"page_bytes" check:"min=1024,max=1000000"`
}

// Routing configures the selection of endpoints.
type Routing struct {
	// Policy is "predicted", or one of the baselines "round-robin",
	// "least-reported" and "two-choices".
	Policy string `json:"policy" check:"oneof=predicted|round-robin|least-reported|two-choices"`
}

// Role configures role and placement decisions.
type Role struct {
	// Mode is "steady", or one of the baselines "reactive" (without
	// hysteresis) and "fixed" (no role changes).
	Mode string `json:"mode" check:"oneof=steady|reactive|fixed"`
	// Interval is the interval between decisions.
	Interval Duration `json:"interval" check:"min=100ms,max=10m"`
	// MinChangeInterval is the minimum time between two changes of one engine.
	MinChangeInterval Duration `json:"hold" check:"min=1s,max=24h"`
	// StaleReport is the age above which a load report is ignored in decisions.
	StaleReport Duration `json:"stale_report" check:"min=100ms,max=10m"`
}

// Pool configures the scaling of endpoint pools.
type Pool struct {
	// Interval is the interval between decisions.
	Interval Duration `json:"interval" check:"min=100ms,max=1h"`
	// ReturnDelay is how long an endpoint must be spare before it is returned to the provider.
	ReturnDelay Duration `json:"return_after" check:"min=1s,max=24h"`
	// OrdersInFlight is the maximum number of unfinished orders of a failure domain.
	OrdersInFlight int `json:"orders_in_flight" check:"min=1,max=1000"`
}
