package settings

// EntryLimits bounds the resources that an entry host process uses. Sizes are
// in bytes; counts apply to concurrent use.
type EntryLimits struct {
	// BodyBytes is the maximum size of a caller's request body.
	BodyBytes int64 `json:"body_bytes" check:"min=1024,max=1073741824"`
	// HeaderBytes is the maximum size of a caller's request header.
	HeaderBytes int64 `json:"header_bytes" check:"min=1024,max=1048576"`
	// PromptBytes is the maximum size of the prompt of one request.
	PromptBytes int64 `json:"prompt_bytes" check:"min=1024,max=1073741824"`
	// ResponseBytes is the maximum size of the response to one non-streaming call.
	ResponseBytes int64 `json:"response_bytes" check:"min=1024,max=1073741824"`
	// StreamBufferBytes is the maximum amount of stream data buffered for one slow caller.
	StreamBufferBytes int64 `json:"stream_buffer_bytes" check:"min=1024,max=67108864"`
	// Connections is the maximum number of connections from callers.
	Connections int `json:"connections" check:"min=1,max=1000000"`
	// OpenRequests is the maximum number of open caller requests in the process, including
	// queued ones.
	OpenRequests int `json:"open_requests" check:"min=1,max=1000000"`
	// BufferedBytes is the maximum total size of the bodies of all open requests.
	BufferedBytes int64 `json:"buffered_bytes" check:"min=1048576,max=68719476736"`
	// AnswerBytes is the maximum total size of the answers of endpoints and platform
	// services that the process holds. Those that send most are cut first.
	AnswerBytes int64 `json:"answer_bytes" check:"min=1048576,max=68719476736"`
	// SessionStreams is the maximum number of open requests on one agent session.
	SessionStreams int `json:"session_streams" check:"min=1,max=100000"`
	// SessionQueueBytes is the maximum size of the send queue of one session.
	SessionQueueBytes int64 `json:"session_queue_bytes" check:"min=65536,max=1073741824"`
	// QueueInteractive is the maximum number of queued interactive requests of one model.
	QueueInteractive int `json:"queue_interactive" check:"min=1,max=1000000"`
	// QueueStandard is the maximum number of queued standard requests of one model.
	QueueStandard int `json:"queue_standard" check:"min=1,max=1000000"`
	// QueueBatch is the maximum number of queued batch requests of one model.
	QueueBatch int `json:"queue_batch" check:"min=1,max=1000000"`
	// PeerMessageBytes is the maximum size of a message between entry hosts.
	PeerMessageBytes int64 `json:"peer_message_bytes" check:"min=65536,max=67108864"`
	// PeerConnections is the maximum number of connections from other entry hosts.
	PeerConnections int `json:"peer_connections" check:"min=1,max=1000000"`
	// Watches is the maximum number of open operator watches.
	Watches int `json:"watches" check:"min=1,max=100000"`
}

// AgentLimits bounds the resources that an agent process uses. Sizes are in
// bytes; counts apply to concurrent use.
type AgentLimits struct {
	// Connections is the maximum number of connections from entry hosts and other agents.
	Connections int `json:"connections" check:"min=1,max=100000"`
	// Streams is the maximum number of open requests of all sessions together.
	Streams int `json:"streams" check:"min=1,max=100000"`
	// MessageBytes is the maximum size of one message on a session.
	MessageBytes int64 `json:"message_bytes" check:"min=65536,max=1073741824"`
	// SessionQueueBytes is the maximum size of the send queue of one session.
	SessionQueueBytes int64 `json:"session_queue_bytes" check:"min=65536,max=1073741824"`
	// KVBytes is the maximum size of one exported KV cache.
	KVBytes int64 `json:"kv_bytes" check:"min=1024,max=4294967296"`
	// ResponseBytes is the maximum size of the response of a service; that of the entry
	// hosts or less.
	ResponseBytes int64 `json:"response_bytes" check:"min=1024,max=1073741824"`
	// AnswerBytes is the maximum total size of the answers of the endpoint, other agents
	// and the store that the process holds. Those that send most are cut first.
	AnswerBytes int64 `json:"answer_bytes" check:"min=1048576,max=68719476736"`
	// CacheEvents is the maximum number of cache events in one state report.
	CacheEvents int `json:"cache_events" check:"min=1,max=1000000"`
}
