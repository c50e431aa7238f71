package settings

// Lease is about the leases of control work.
type Lease struct {
	// TTL is the time that the store keeps a lease without a renewal.
	TTL Duration `json:"ttl" check:"min=500ms,max=5m"`
	// Renew is the time between renewals.
	Renew Duration `json:"renew" check:"min=50ms,max=1m"`
	// Margin is how long before its end a holder stops using a lease.
	Margin Duration `json:"margin" check:"min=10ms,max=1m"`
	// OrderDeadline is how long an order may be on its way.
	OrderDeadline Duration `json:"order_deadline" check:"min=10ms,max=1m"`
}

// Member is about the membership table.
type Member struct {
	// Exchange is the time between exchanges with random peers.
	Exchange Duration `json:"exchange" check:"min=50ms,max=1m"`
	// Fanout is how many peers are asked each time.
	Fanout int `json:"fanout" check:"min=1,max=16"`
	// Suspect is the silence after which a member is taken for gone.
	Suspect Duration `json:"suspect" check:"min=500ms,max=10m"`
	// HostList is the time between reads of the platform's host list.
	HostList Duration `json:"host_list" check:"min=100ms,max=10m"`
	// Watchers is how many entry hosts watch each endpoint.
	Watchers int `json:"watchers" check:"min=1,max=16"`
}

// Quota is about the shares of workspaces' rates.
type Quota struct {
	// BasePercent is the part of each rate that is spread as base shares.
	BasePercent int `json:"base_percent" check:"min=0,max=100"`
}

// Usage is about usage windows and their reports.
type Usage struct {
	// Window is the length of one usage window.
	Window Duration `json:"window" check:"min=1s,max=24h"`
	// Flush is the longest time that figures stay on a host alone.
	Flush Duration `json:"flush" check:"min=100ms,max=1m"`
	// Settle is how long after its end a window waits for late figures.
	Settle Duration `json:"settle" check:"min=100ms,max=1h"`
	// Shards is the number of shards that workspaces are spread over.
	Shards int `json:"shards" check:"min=1,max=4096"`
	// PageBytes bounds one page of a sealed window.
	PageBytes int64 `json:"page_bytes" check:"min=1024,max=1000000"`
}

// Routing is about the choice of endpoints.
type Routing struct {
	// Policy is "predicted", or one of the baselines "round-robin",
	// "least-reported" and "two-choices".
	Policy string `json:"policy" check:"oneof=predicted|round-robin|least-reported|two-choices"`
}

// Role is about role and placement decisions.
type Role struct {
	// Mode is "steady", or one of the baselines "reactive" (without
	// hysteresis) and "fixed" (no change).
	Mode string `json:"mode" check:"oneof=steady|reactive|fixed"`
	// Interval is the time between decisions.
	Interval Duration `json:"interval" check:"min=100ms,max=10m"`
	// Hold is the least time between two changes of one engine.
	Hold Duration `json:"hold" check:"min=1s,max=24h"`
	// StaleReport is the age past which a load report is not decided on.
	StaleReport Duration `json:"stale_report" check:"min=100ms,max=10m"`
}

// Pool is about ordering endpoints.
type Pool struct {
	// Interval is the time between decisions.
	Interval Duration `json:"interval" check:"min=100ms,max=1h"`
	// ReturnAfter is how long an endpoint is spare before it is returned.
	ReturnAfter Duration `json:"return_after" check:"min=1s,max=24h"`
	// OrdersInFlight bounds unfinished orders of a domain.
	OrdersInFlight int `json:"orders_in_flight" check:"min=1,max=1000"`
}
