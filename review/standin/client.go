package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// caller is a client with one connection that it keeps.
type caller struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dial(address string) (*caller, error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second) //nolint:noctx // bounded by its time-out
	if err != nil {
		return nil, err
	}
	return &caller{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// answer is what a client saw of the answer to one request.
type answer struct {
	sent, ended time.Time
	// status is 0 if the connection ended without the head of an answer.
	status int
	seal   string
	// body is what came of the body; complete is set if it looked whole.
	body     string
	complete bool
	// closes is set if the connection ends with the answer.
	closes bool
	err    error
}

// String describes the answer for the record.
func (a *answer) String() string {
	switch {
	case a.status == 0:
		return fmt.Sprintf("no answer, the connection ended after %.3f s: %v", a.ended.Sub(a.sent).Seconds(), a.err)
	case !a.complete:
		return fmt.Sprintf("%d, cut after %.3f s and %d bytes: %v", a.status, a.ended.Sub(a.sent).Seconds(), len(a.body), a.err)
	default:
		return fmt.Sprintf("%d, complete after %.3f s, %d bytes, seal %q", a.status, a.ended.Sub(a.sent).Seconds(), len(a.body), a.seal)
	}
}

// send sends a request and reads the answer until the client's deadline.
func (c *caller) send(id, path, headers, body string, deadline time.Duration) *answer {
	a := &answer{sent: time.Now()}
	defer func() { a.ended = time.Now() }()
	_ = c.conn.SetDeadline(a.sent.Add(deadline))
	text := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n%s",
		path, clientHost, id, deadline.Milliseconds(), clientKey, headers, len(body), body)
	if _, a.err = io.Copy(c.conn, strings.NewReader(text)); a.err != nil {
		return a
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	a.status, a.seal, a.closes = resp.StatusCode, resp.Header.Get("X-Replica-Seal"), resp.Close
	content, err := io.ReadAll(resp.Body)
	a.body, a.err, a.complete = string(content), err, err == nil
	return a
}
