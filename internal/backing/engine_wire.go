package backing

// GenerateLine is one line of a streamed generation. A line with no field set is
// a heartbeat. The last line has Finish or Error; a stream that ends without
// either is incomplete.
type GenerateLine struct {
	Token  *Token     `json:"token,omitempty"`
	Finish *Finish    `json:"finish,omitempty"`
	Error  *ErrorBody `json:"error,omitempty"`
}

// CancelRequest is the JSON body of a cancellation request.
type CancelRequest struct {
	ID string `json:"id"`
}
