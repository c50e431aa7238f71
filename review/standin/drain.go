package main

import (
	"context"
	"sync"
	"time"
)

const (
	// settling is the time that the deployment runs calmly before the trouble.
	settling = 5 * time.Second
	// orders is the number of orders sent late in the drain.
	orders = 6
	// firstOrder is the time from SIGTERM to the first of them, orderGap that between two.
	firstOrder = 6150 * time.Millisecond
	orderGap   = 50 * time.Millisecond
	// longWork is the time that their work takes, below the route's time-out.
	longWork = 1600 * time.Millisecond
)

// playDrain stops an entry host with SIGTERM while it relays a stream. Clients send orders
// on connections that they keep to it.
func playDrain(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	if err := d.startSmall(ctx, "--events=35", "--gap=195ms", "--long="+longWork.String()); err != nil {
		return false, err
	}
	host := d.frontends[0]
	callers := make([]*caller, orders)
	for i := range callers {
		c, err := d.warmUp(host, i)
		if err != nil {
			return false, err
		}
		defer c.conn.Close()
		callers[i] = c
	}
	var clients sync.WaitGroup
	clients.Go(func() {
		c, err := dial(host.address)
		if err != nil {
			d.record.add("stream: %v", err)
			return
		}
		defer c.conn.Close()
		a := c.send("stream", "/chat/talk", "X-Model: m\r\nX-Token-Count: 100,35\r\nX-Prefix-Hash: 5c1e07a2:50,91bd3f06:50\r\n", "hello", 8*time.Second)
		d.record.add("client of the stream: %s", a)
	})
	time.Sleep(200 * time.Millisecond)
	start := time.Now()
	if trouble {
		if err := host.terminate(); err != nil {
			return false, err
		}
		d.record.add("SIGTERM to %s", host.name)
	}
	go d.watchReadiness(ctx, host, start)
	answers := make([]*answer, orders)
	for i, c := range callers {
		clients.Go(func() {
			time.Sleep(time.Until(start.Add(firstOrder + time.Duration(i)*orderGap)))
			answers[i] = d.sendOrder(c, i, host, start, "/order/long")
		})
	}
	clients.Wait()
	time.Sleep(300 * time.Millisecond)
	return d.judgeLost(answers, start), nil
}

// watchReadiness asks an entry host each second whether it is ready, as the platform does.
func (d *deployment) watchReadiness(ctx context.Context, host *frontend, start time.Time) {
	for range graceS {
		d.record.add("platform: %s ready %.1f s after SIGTERM: %v", host.name, time.Since(start).Seconds(), host.isReady(ctx))
		time.Sleep(time.Second)
	}
}
