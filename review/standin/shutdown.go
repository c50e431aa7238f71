package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// newCallers is the number of clients that connect after SIGTERM, keptCallers that of
	// clients that keep a connection.
	newCallers, keptCallers = 6, 30
	// connectAfter is the time from SIGTERM at which the new ones connect: the platform
	// takes a host out of rotation after two misses, a second apart.
	connectAfter = 1500 * time.Millisecond
	// firstSend is the time from SIGTERM to the first order, sendGap that between two.
	firstSend = 3590 * time.Millisecond
	sendGap   = 12 * time.Millisecond
)

// playShutdown stops an entry host that has nothing to do with SIGTERM. Clients send orders
// on connections that are open when it has been idle for a while.
func playShutdown(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	if err := d.startSmall(ctx); err != nil {
		return false, err
	}
	host := d.frontends[0]
	callers := make([]*caller, keptCallers, keptCallers+newCallers)
	for i := range callers {
		c, err := d.warmUp(host, i)
		if err != nil {
			return false, err
		}
		defer c.conn.Close()
		callers[i] = c
	}
	start := time.Now()
	if trouble {
		if err := host.terminate(); err != nil {
			return false, err
		}
		d.record.add("SIGTERM to %s", host.name)
	}
	go d.watchReadiness(ctx, host, start)
	time.Sleep(time.Until(start.Add(connectAfter)))
	for i := range newCallers {
		c, err := dial(host.address)
		if err != nil {
			return false, err
		}
		defer c.conn.Close()
		d.record.add("client %d connects to %s, %.3f s after SIGTERM", keptCallers+i, host.name, time.Since(start).Seconds())
		callers = append(callers, c)
	}
	answers := make([]*answer, len(callers))
	var clients sync.WaitGroup
	for i, c := range callers {
		clients.Go(func() {
			time.Sleep(time.Until(start.Add(firstSend + time.Duration(i)*sendGap)))
			answers[i] = d.sendOrder(c, i, host, start, "/order/short")
		})
	}
	clients.Wait()
	time.Sleep(300 * time.Millisecond)
	return d.judgeLost(answers, start), nil
}

// warmUp opens a connection to an entry host and sends an order on it.
func (d *deployment) warmUp(host *frontend, i int) (*caller, error) {
	c, err := dial(host.address)
	if err != nil {
		return nil, err
	}
	a := c.send(fmt.Sprintf("early%d", i), "/order/short", "", "pay", orderDeadline)
	d.record.add("client %d: order early%d to %s: %s", i, i, host.name, a)
	if a.status != 200 || !a.complete || a.closes {
		c.conn.Close()
		return nil, fmt.Errorf("an order before the trouble was answered with %s", a)
	}
	return c, nil
}

// sendOrder sends an order after SIGTERM.
func (d *deployment) sendOrder(c *caller, i int, host *frontend, start time.Time, path string) *answer {
	id := fmt.Sprintf("late%d", i)
	d.record.add("client %d: sends order %s to %s, %.3f s after SIGTERM", i, id, host.name, time.Since(start).Seconds())
	a := c.send(id, path, "", "pay", orderDeadline)
	d.record.add("client %d: order %s: %s", i, id, a)
	return a
}

// orderReplicas is the number of replicas of the order service.
const orderReplicas = 4

// startSmall starts three entry hosts, four model replicas and four replicas of the order
// service, and waits until they run calmly.
func (d *deployment) startSmall(ctx context.Context, flags ...string) error {
	d.configure()
	for i, stage := range []string{"prefill", "prefill", "decode", "decode"} {
		if err := d.addReplica(fmt.Sprintf("i-llm%d", i+1), "llm", stage, flags...); err != nil {
			return err
		}
	}
	for i := range orderReplicas {
		if err := d.addReplica(fmt.Sprintf("i-app%d", i+1), "app", "", flags...); err != nil {
			return err
		}
	}
	for i := range 3 {
		if _, err := d.addFrontend(fmt.Sprintf("frontend-a-%d", i+1)); err != nil {
			return err
		}
	}
	if err := d.awaitReady(ctx); err != nil {
		return err
	}
	time.Sleep(settling)
	return nil
}

// judgeLost applies the rule LOST around a SIGTERM at start: an order that was read and
// passed on to a replica has a complete answer, unless its time was over. It was sent later
// than 3 s after SIGTERM, and no replica breaks off.
func (d *deployment) judgeLost(answers []*answer, start time.Time) bool {
	broken := false
	for i, a := range answers {
		id := fmt.Sprintf("late%d", i)
		ran := false
		for n := range orderReplicas {
			ran = ran || d.printed(fmt.Sprintf("i-app%d: runs %s", n+1, id))
		}
		lost := ran && !a.complete && a.ended.Sub(a.sent) < orderTimeout && a.ended.Sub(start) < (graceS+1)*time.Second
		d.record.add("order %s: passed on to a replica %v, complete answer %v, lost %v", id, ran, a.complete, lost)
		broken = broken || lost
	}
	return broken
}
