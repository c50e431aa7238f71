package once

// call is a key in progress on this host. The fields but done are written
// before done is closed and read only after.
type call struct {
	body BodyHash
	done chan struct{}
	// retry: the first request was not run; a waiter may start over.
	retry    bool
	response Response
	err      error
}

func (c *call) finish(r Response, err error, retry bool) {
	c.response, c.err, c.retry = r, err, retry
	close(c.done)
}
