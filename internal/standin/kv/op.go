package kv

// Op is an operation of the store.
type Op string

// The operations of the store.
const (
	OpGet       Op = "get"
	OpList      Op = "list"
	OpCAS       Op = "cas"
	OpDelete    Op = "delete"
	OpWatch     Op = "watch"
	OpGrant     Op = "grant"
	OpKeepAlive Op = "keepalive"
	OpRevoke    Op = "revoke"
)

// writes reports whether the operation is a write; operations on leases are.
func (o Op) writes() bool {
	switch o {
	case OpGet, OpList, OpWatch:
		return false
	default:
		return true
	}
}
