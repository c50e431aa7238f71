// Package observe provides the observability of a process: structured logs,
// counters, latency histograms, state dumps and the HTTP server routes for
// operators. It has no global state, so that components of several processes can
// run in one program.
package observe

// Names of log fields. They are stable across versions, so that log queries keep
// working.
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
