// Package observe holds what operators see of a process: log lines, counters,
// latency histograms, state dumps and the operators' HTTP address. Nothing in
// it is global, so that several processes' parts can run in one program.
package observe

// Names of log fields. They are stable: a query written for one version works
// with the next.
const (
	FieldTime      = "time"
	FieldLevel     = "level"
	FieldMessage   = "msg"
	FieldProcess   = "process"
	FieldRole      = "role"
	FieldDomain    = "domain"
	FieldRequestID = "request_id"
	FieldCallerID  = "caller_request_id"
	FieldWorkspace = "workspace"
	FieldRoute     = "route"
	FieldModel     = "model"
	FieldEndpoint  = "endpoint"
	FieldPeer      = "peer"
	FieldVerdict   = "verdict"
	FieldCode      = "code"
	FieldStatus    = "status"
	FieldError     = "error"
	FieldDuration  = "duration_ms"
	FieldRevision  = "revision"
	FieldLease     = "lease"
	FieldFence     = "fence"
	FieldOperator  = "operator"
	FieldOrder     = "order"
	FieldWindow    = "window"
)
