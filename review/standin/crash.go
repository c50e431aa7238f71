package main

import (
	"context"
	"fmt"
	"time"
)

// crashEvents is the number of events of a stream, crashAfter the one after which its
// replica is killed.
const (
	crashEvents = 30
	crashAfter  = 12
)

// playCrash kills a model replica in the middle of a stream that ends with its connection.
func playCrash(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	if err := d.startSmall(ctx, fmt.Sprintf("--events=%d", crashEvents), "--gap=80ms", "--unframed"); err != nil {
		return false, err
	}
	answered := make(chan *answer, 1)
	go func() {
		c, err := dial(d.frontends[0].address)
		if err != nil {
			answered <- &answer{err: err}
			return
		}
		defer c.conn.Close()
		answered <- c.send("stream", "/chat/talk", "X-Model: m\r\nX-Token-Count: 100,30\r\nX-Prefix-Hash: 5c1e07a2:50,91bd3f06:50\r\n", "hello", 8*time.Second)
	}()
	for deadline := time.Now().Add(4 * time.Second); trouble && time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if id := d.sender("stream", crashAfter); id != "" {
			time.Sleep(30 * time.Millisecond) // the event has reached the entry host
			if err := d.kill(id); err != nil {
				return false, err
			}
			d.record.add("SIGKILL to %s", id)
			break
		}
	}
	a := <-answered
	d.record.add("client: %s", a)
	whole := ""
	for n := 1; n <= crashEvents; n++ {
		whole += event("stream", n)
	}
	if a.status == 0 {
		return false, fmt.Errorf("the stream was not answered: %s", a)
	}
	d.record.add("the whole body has %d bytes, the client got %d and a complete answer: %v", len(whole), len(a.body), a.complete)
	return a.status == 200 && a.complete && a.body != whole, nil
}

// sender returns the replica that has sent the event with the number n; empty for none.
func (d *deployment) sender(request string, n int) string {
	for _, id := range []string{"i-llm2", "i-llm3"} {
		if d.printed(fmt.Sprintf("%s: has sent piece %d of %d of %s", id, n, crashEvents, request)) {
			return id
		}
	}
	return ""
}

// kill ends a process at once.
func (d *deployment) kill(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.processes {
		if p.name == name {
			return p.cmd.Process.Kill()
		}
	}
	return fmt.Errorf("there is no process %s", name)
}
