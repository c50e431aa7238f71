package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a client saw of its request.
type answer struct {
	id, host string
	sent     time.Time
	status   int
	seal     string
	body     []byte
	// whole is set if the answer ended as a complete HTTP/1.1 message.
	whole bool
	err   error
}

// events returns the number of events in the body.
func (a *answer) events() int { return strings.Count(string(a.body), "\n\n") }

// send sends a request on a connection of its own and reads the answer to its end.
func send(h *entryHost, method, path, id, headers, body string, limit time.Duration) *answer {
	a := &answer{id: id, host: h.name, sent: time.Now()}
	a.err = a.exchange(h.callers, method, path, headers, body, limit)
	return a
}

func (a *answer) exchange(address, method, path, headers, body string, limit time.Duration) error {
	dialer := net.Dialer{Timeout: time.Second}
	c, err := dialer.DialContext(context.Background(), "tcp4", address)
	if err != nil {
		return err
	}
	defer c.Close()
	if err := c.SetDeadline(a.sent.Add(limit)); err != nil {
		return err
	}
	_, err = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer key-1\r\n%sContent-Length: %d\r\n\r\n%s",
		method, path, a.id, limit.Milliseconds(), headers, len(body), body)
	if err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	a.status, a.seal = resp.StatusCode, resp.Header.Get("X-Replica-Seal")
	a.body, err = io.ReadAll(resp.Body)
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	a.whole = err == nil && framed
	return err
}
