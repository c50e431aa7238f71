package idempotency

// call is a key in progress on this host. All fields but body and done are
// written before done is closed and read only afterwards.
type call struct {
	body BodyHash
	done chan struct{}
	// retry is true if the first request was not sent, so that a waiting repeat
	// may claim the key.
	retry    bool
	response Response
	err      error
}

func (c *call) finish(r Response, err error, retry bool) {
	c.response, c.err, c.retry = r, err, retry
	close(c.done)
}
