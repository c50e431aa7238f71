package settings

import "fmt"

// relateEntry checks what fields of an entry's settings demand of each other.
func (d *decoder) relateEntry(e *Entry) {
	d.kind(e.Kind, KindEntry)
	d.distinct("listen.callers", e.Listen.Callers, "listen.operators", e.Listen.Operators)
	d.distinct("listen.callers", e.Listen.Callers, "listen.peers", e.Listen.Peers)
	d.distinct("listen.operators", e.Listen.Operators, "listen.peers", e.Listen.Peers)
	d.operators(e.Operators)
	d.notAbove("limits.prompt_bytes", e.Limits.PromptBytes, "limits.body_bytes", e.Limits.BodyBytes)
	d.notAbove("limits.body_bytes", e.Limits.BodyBytes, "limits.buffered_bytes", e.Limits.BufferedBytes)
	d.below("timeouts.heartbeat", e.Timeouts.Heartbeat*2, "timeouts.silent", e.Timeouts.Silent, "twice ")
	d.below("timeouts.reconnect_min", e.Timeouts.ReconnectMin, "timeouts.reconnect_max", e.Timeouts.ReconnectMax, "")
	d.below("lease.renew", e.Lease.Renew*2+e.Lease.Margin, "lease.ttl", e.Lease.TTL, "twice with lease.margin ")
	d.below("lease.order_deadline", e.Lease.OrderDeadline+e.Lease.Margin, "lease.ttl", e.Lease.TTL, "with lease.margin ")
	d.below("member.exchange", e.Member.Exchange*2, "member.suspect", e.Member.Suspect, "twice ")
	d.below("usage.flush", e.Usage.Flush, "usage.settle", e.Usage.Settle, "")
}

// relateAgent checks what fields of an agent's settings demand of each other.
func (d *decoder) relateAgent(a *Agent) {
	d.kind(a.Kind, KindAgent)
	d.distinct("listen", a.Listen, "operator_listen", a.OperatorListen)
	d.operators(a.Operators)
	d.below("timeouts.heartbeat", a.Timeouts.Heartbeat*2, "timeouts.silent", a.Timeouts.Silent, "twice ")
	if a.Endpoint.Type == "service" && a.Endpoint.ChecksFencing {
		d.report("endpoint.checks_fencing", "only engines take orders; leave it out for a service")
	}
}

func (d *decoder) kind(got, want string) {
	if got != want && !d.broken("kind") {
		d.report("kind", "%q must be %q here", got, want)
	}
}

func (d *decoder) distinct(path, value, otherPath, other string) {
	if value != "" && value == other {
		d.report(otherPath, "must differ from %s", path)
	}
}

func (d *decoder) operators(list []Operator) {
	names := make(map[string]bool, len(list))
	for i, o := range list {
		if names[o.Name] {
			d.report(fmt.Sprintf("operators[%d].name", i), "%q is given twice", shorten(o.Name))
		}
		names[o.Name] = true
	}
}

func (d *decoder) notAbove(path string, value int64, otherPath string, other int64) {
	if value > other && !d.broken(path) && !d.broken(otherPath) {
		d.report(path, "%d must not be above %s, which is %d", value, otherPath, other)
	}
}

// below demands value < other, where value is made of the field at path in
// the way that note says.
func (d *decoder) below(path string, value Duration, otherPath string, other Duration, note string) {
	if value < other || d.broken(path) || d.broken(otherPath) {
		return
	}
	d.report(path, "%s(%v) must be below %s, which is %v", note, value, otherPath, other)
}
