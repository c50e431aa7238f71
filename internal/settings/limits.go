package settings

// EntryLimits bounds what an entry host process holds at a time.
type EntryLimits struct {
	// BodyBytes bounds a caller's request body.
	BodyBytes int64 `json:"body_bytes" check:"min=1024,max=1073741824"`
	// HeaderBytes bounds a caller's request header.
	HeaderBytes int64 `json:"header_bytes" check:"min=1024,max=1048576"`
	// PromptBytes bounds the prompt of one request.
	PromptBytes int64 `json:"prompt_bytes" check:"min=1024,max=1073741824"`
	// ResponseBytes bounds the answer of one plain call.
	ResponseBytes int64 `json:"response_bytes" check:"min=1024,max=1073741824"`
	// StreamBufferBytes bounds what waits for one slow caller.
	StreamBufferBytes int64 `json:"stream_buffer_bytes" check:"min=1024,max=67108864"`
	// Connections bounds callers' connections.
	Connections int `json:"connections" check:"min=1,max=1000000"`
	// OpenRequests bounds callers' requests in the process, queued ones included.
	OpenRequests int `json:"open_requests" check:"min=1,max=1000000"`
	// BufferedBytes bounds the bodies of all open requests together.
	BufferedBytes int64 `json:"buffered_bytes" check:"min=1048576,max=68719476736"`
	// SessionStreams bounds open requests on one agent session.
	SessionStreams int `json:"session_streams" check:"min=1,max=100000"`
	// SessionQueueBytes bounds what waits to be sent on one session.
	SessionQueueBytes int64 `json:"session_queue_bytes" check:"min=65536,max=1073741824"`
	// QueueInteractive bounds waiting interactive requests of one model.
	QueueInteractive int `json:"queue_interactive" check:"min=1,max=1000000"`
	// QueueStandard bounds waiting standard requests of one model.
	QueueStandard int `json:"queue_standard" check:"min=1,max=1000000"`
	// QueueBatch bounds waiting batch requests of one model.
	QueueBatch int `json:"queue_batch" check:"min=1,max=1000000"`
	// PeerMessageBytes bounds a message between entry hosts.
	PeerMessageBytes int64 `json:"peer_message_bytes" check:"min=65536,max=67108864"`
	// PeerConnections bounds connections from other entry hosts.
	PeerConnections int `json:"peer_connections" check:"min=1,max=1000000"`
	// Watches bounds operators' open watches.
	Watches int `json:"watches" check:"min=1,max=100000"`
}

// AgentLimits bounds what an agent process holds at a time.
type AgentLimits struct {
	// Connections bounds connections from entry hosts and other agents.
	Connections int `json:"connections" check:"min=1,max=100000"`
	// Streams bounds open requests of all sessions.
	Streams int `json:"streams" check:"min=1,max=100000"`
	// MessageBytes bounds one message on a session.
	MessageBytes int64 `json:"message_bytes" check:"min=65536,max=1073741824"`
	// SessionQueueBytes bounds what waits to be sent on one session.
	SessionQueueBytes int64 `json:"session_queue_bytes" check:"min=65536,max=1073741824"`
	// KVBytes bounds one exported KV cache.
	KVBytes int64 `json:"kv_bytes" check:"min=1024,max=4294967296"`
	// CacheEvents bounds the cache events that a state carries.
	CacheEvents int `json:"cache_events" check:"min=1,max=1000000"`
}
