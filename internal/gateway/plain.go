package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/acacialink/acacialink/internal/catalog"
	"github.com/acacialink/acacialink/internal/verdict"
)

// plain serves a request of a plain service.
func (q *request) plain(ctx context.Context) error {
	var last error
	for {
		e := q.g.o.Tracker.Least(time.Now(), q.g.o.Endpoints.Service(q.service.Name), q.exclude)
		if e == nil {
			if last == nil {
				last = errNoEndpoint()
			}
			return q.final(last)
		}
		f := q.g.o.Tracker.BeginCall(time.Now(), e)
		d := q.dispatch(e)
		d.Once = q.route.Kind == catalog.Once
		reply, err := q.send(ctx, d)
		if err == nil {
			err = q.relayWhole(reply, q.repeatable())
			if err == nil {
				f.Outcome(time.Now(), reply.Status < http.StatusInternalServerError)
				f.Done()
				return nil
			}
		}
		f.Outcome(time.Now(), false)
		if verdict.Of(err) == verdict.NotRun || verdict.As(err).Code != "endpoint_failed" {
			f.Failed(time.Now())
		} else {
			f.Done()
		}
		last = err
		if ctx.Err() != nil || q.answered || !q.again(err) {
			return q.deliver(reply, err)
		}
	}
}

// deliver ends a request after its last try: with the endpoint's own failure
// if there is one, for that is more than the gateway can say.
func (q *request) deliver(reply *Reply, err error) error {
	if f, ok := err.(*endpointFailure); ok && !q.answered { //nolint:errorlint // made by relayWhole, not wrapped
		q.writeHead(reply, int64(len(f.body)))
		_, werr := q.w.Write(f.body)
		return writeError(werr)
	}
	return q.final(err)
}

// endpointFailure is a whole answer that says that the endpoint failed.
type endpointFailure struct {
	cause *verdict.Error
	body  []byte
}

func (f *endpointFailure) Error() string { return f.cause.Error() }

func (f *endpointFailure) Unwrap() error { return f.cause }

// wholeBytes is the longest answer that is held until it is whole, so that a
// broken one can be asked for again.
const wholeBytes = 256 << 10

// relayWhole reads the answer and gives it to the caller; holdFailures makes an
// endpoint's own failure an error instead, so that another one may be asked.
func (q *request) relayWhole(reply *Reply, holdFailures bool) error {
	defer reply.Body.Close()
	var held bytes.Buffer
	_, err := io.CopyN(&held, reply.Body, wholeBytes)
	long := err == nil
	if err != nil && err != io.EOF { //nolint:errorlint // io.CopyN returns the reader's bare EOF
		return verdict.Wrap(err, verdict.MayHaveRun, http.StatusBadGateway, "answer_broken", "the endpoint's answer broke off")
	}
	q.began()
	if reply.Status >= http.StatusInternalServerError && holdFailures {
		return &endpointFailure{
			cause: verdict.New(verdict.Ran, reply.Status, "endpoint_failed", "the endpoint failed the request"),
			body:  held.Bytes(),
		}
	}
	if !reply.Authentic && reply.Status < http.StatusMultipleChoices {
		return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "answer_foreign", "the answer does not bear the endpoint's signature")
	}
	length := int64(held.Len())
	if long {
		length = reply.Length
	}
	q.first = time.Since(q.begun)
	q.g.o.Metrics.Answer.Record(q.first)
	q.writeHead(reply, length)
	if _, err := q.w.Write(held.Bytes()); err != nil || !long {
		return writeError(err)
	}
	if _, err := io.Copy(q.w, reply.Body); err != nil {
		return errBrokenOff(err)
	}
	return nil
}

func errNoEndpoint() error {
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "no_endpoint", "no endpoint can take the request").After(retryBusy)
}
