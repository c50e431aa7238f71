package settings

import "fmt"

// checkEntryRelations checks the constraints between fields of an entry host's
// settings.
func (d *decoder) checkEntryRelations(entry *Entry) {
	d.checkKind(entry.Kind, KindEntry)
	d.requireDistinct("listen.callers", entry.Listen.Callers, "listen.operators", entry.Listen.Operators)
	d.requireDistinct("listen.callers", entry.Listen.Callers, "listen.peers", entry.Listen.Peers)
	d.requireDistinct("listen.operators", entry.Listen.Operators, "listen.peers", entry.Listen.Peers)
	d.checkOperatorNames(entry.Operators)
	d.requireAtMost("limits.prompt_bytes", entry.Limits.PromptBytes, "limits.body_bytes", entry.Limits.BodyBytes)
	d.requireAtMost("limits.body_bytes", entry.Limits.BodyBytes, "limits.buffered_bytes", entry.Limits.BufferedBytes)
	d.requireAtMostHalf("limits.response_bytes", entry.Limits.ResponseBytes, "limits.answer_bytes", entry.Limits.AnswerBytes)
	d.requireBelow("timeouts.heartbeat", entry.Timeouts.Heartbeat*2, "timeouts.silent", entry.Timeouts.SilenceTimeout, "twice ")
	d.requireBelow("timeouts.reconnect_min", entry.Timeouts.ReconnectMin, "timeouts.reconnect_max", entry.Timeouts.ReconnectMax, "")
	d.requireBelow("lease.renew", entry.Lease.RenewInterval*2+entry.Lease.Margin, "lease.ttl", entry.Lease.TTL, "twice with lease.margin ")
	d.requireBelow("lease.order_deadline", entry.Lease.OrderDeadline+entry.Lease.Margin, "lease.ttl", entry.Lease.TTL, "with lease.margin ")
	d.requireBelow("member.exchange", entry.Membership.Exchange*2, "member.suspect", entry.Membership.Suspect, "twice ")
	d.requireBelow("usage.flush", entry.Usage.Flush, "usage.settle", entry.Usage.SettlingDelay, "")
}

// checkAgentRelations checks the constraints between fields of an agent's
// settings.
func (d *decoder) checkAgentRelations(agent *Agent) {
	d.checkKind(agent.Kind, KindAgent)
	d.requireDistinct("listen", agent.Listen, "operator_listen", agent.OperatorListen)
	d.checkOperatorNames(agent.Operators)
	d.requireAtMostHalf("limits.response_bytes", agent.Limits.ResponseBytes, "limits.answer_bytes", agent.Limits.AnswerBytes)
	d.requireAtMostHalf("limits.kv_bytes", agent.Limits.KVBytes, "limits.answer_bytes", agent.Limits.AnswerBytes)
	d.requireBelow("timeouts.heartbeat", agent.Timeouts.Heartbeat*2, "timeouts.silent", agent.Timeouts.SilenceTimeout, "twice ")
	if agent.Endpoint.Type == "service" && agent.Endpoint.ChecksFencing {
		d.addProblem("endpoint.checks_fencing", "only engines take orders; leave it out for a service")
	}
}

func (d *decoder) checkKind(got, want string) {
	if got != want && !d.hasProblem("kind") {
		d.addProblem("kind", "%q must be %q here", got, want)
	}
}

func (d *decoder) requireDistinct(path, value, otherPath, other string) {
	if value != "" && value == other {
		d.addProblem(otherPath, "must differ from %s", path)
	}
}

func (d *decoder) checkOperatorNames(list []Operator) {
	names := make(map[string]bool, len(list))
	for i, operator := range list {
		if names[operator.Name] {
			d.addProblem(fmt.Sprintf("operators[%d].name", i), "%q is given twice", truncate(operator.Name))
		}
		names[operator.Name] = true
	}
}

func (d *decoder) requireAtMost(path string, value int64, otherPath string, other int64) {
	if value > other && !d.hasProblem(path) && !d.hasProblem(otherPath) {
		d.addProblem(path, "%d must not be above %s, which is %d", value, otherPath, other)
	}
}

// requireAtMostHalf is requireAtMost for twice the value: no sender holds more than half of
// a shared budget.
func (d *decoder) requireAtMostHalf(path string, value int64, otherPath string, other int64) {
	if value > other/2 && !d.hasProblem(path) && !d.hasProblem(otherPath) {
		d.addProblem(path, "%d must not be above half of %s, which is %d", value, otherPath, other)
	}
}

// requireBelow reports a problem unless value < other. The value is derived from
// the field at path; note describes how and prefixes the message.
func (d *decoder) requireBelow(path string, value Duration, otherPath string, other Duration, note string) {
	if value < other || d.hasProblem(path) || d.hasProblem(otherPath) {
		return
	}
	d.addProblem(path, "%s(%v) must be below %s, which is %v", note, value, otherPath, other)
}
