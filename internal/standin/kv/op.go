package kv

// Op names a call of the store.
type Op string

// The calls of the store.
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

func (o Op) writes() bool {
	switch o {
	case OpGet, OpList, OpWatch:
		return false
	default:
		return true
	}
}
