package main

import (
	"context"
	"fmt"
	"strings"
	"time"
)

// crashEvents is the number of events of a stream, crashAfter the one after which its
// replica is killed.
const (
	crashEvents = 30
	crashAfter  = 12
)

// crashDelay is the time from the output of a replica to its end: the output has reached the
// entry host by then.
const crashDelay = 30 * time.Millisecond

// playCrash kills replicas in the middle of answers that end with their connection: one that
// streams, and one that answers an order.
func playCrash(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	if err := d.startSmall(ctx, fmt.Sprintf("--events=%d", crashEvents), "--gap=80ms", "--unframed"); err != nil {
		return false, err
	}
	whole := ""
	for n := 1; n <= crashEvents; n++ {
		whole += event("stream", n)
	}
	stream, err := d.playOneCrash(trouble, "stream", "/chat/talk", fmt.Sprintf("has sent piece %d of %d of stream", crashAfter, crashEvents), whole)
	if err != nil {
		return false, err
	}
	order, err := d.playOneCrash(trouble, "order", "/order/short", "has sent the first half of the answer to order", plainBody("order"))
	return stream || order, err
}

// playOneCrash sends a request and kills the replica that prints the line. It reports whether
// the client got a part of the whole body as a complete answer.
func (d *deployment) playOneCrash(trouble bool, id, path, line, whole string) (bool, error) {
	c, err := dial(d.frontends[0].address)
	if err != nil {
		return false, err
	}
	defer c.conn.Close()
	answered := make(chan *answer, 1)
	go func() {
		answered <- c.send(id, path, "X-Model: m\r\nX-Token-Count: 100,30\r\nX-Prefix-Hash: 5c1e07a2:50,91bd3f06:50\r\n", "hello", 8*time.Second)
	}()
	for deadline := time.Now().Add(4 * time.Second); trouble && time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if p := d.printer(line); p != nil {
			time.Sleep(crashDelay)
			if err := p.cmd.Process.Kill(); err != nil {
				return false, err
			}
			d.record.add("SIGKILL to %s", p.name)
			break
		}
	}
	a := <-answered
	d.record.add("client of %s: %s", id, a)
	if a.status == 0 {
		return false, fmt.Errorf("%s was not answered: %s", id, a)
	}
	d.record.add("the whole body of %s has %d bytes, the client got %d and a complete answer: %v", id, len(whole), len(a.body), a.complete)
	return a.status == 200 && a.complete && a.body != whole, nil
}

// printer returns the replica that has printed a line; nil for none.
func (d *deployment) printer(line string) *process {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.processes {
		if strings.HasPrefix(p.name, "i-") && d.lines[p.name+": "+line] {
			return p
		}
	}
	return nil
}
