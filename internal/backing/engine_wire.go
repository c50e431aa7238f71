package backing

// GenerateLine is one line of a streamed generation. A line without a field
// is a heartbeat. The last line holds Finish or Error; a stream without one is
// broken.
type GenerateLine struct {
	Token  *Token     `json:"token,omitempty"`
	Finish *Finish    `json:"finish,omitempty"`
	Error  *ErrorBody `json:"error,omitempty"`
}

// CancelCall is the body of a cancellation.
type CancelCall struct {
	ID string `json:"id"`
}
