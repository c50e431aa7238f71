package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"
)

// foreignOrders is the number of orders sent, foreignGap the time between two.
const (
	foreignOrders = 40
	foreignGap    = 50 * time.Millisecond
)

// playForeign has another writer put an entry beside those of the replicas, with fields
// missing. It names no replica.
func playForeign(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	if err := d.startSmall(ctx); err != nil {
		return false, err
	}
	address, err := freeAddress()
	if err != nil {
		return false, err
	}
	if err := d.startServer("foreign", address); err != nil {
		return false, err
	}
	if trouble {
		entry, err := json.Marshal(map[string]any{"service": "app", "address": address, "zone": "a", "slots": 64, "state": "ready"})
		if err != nil {
			return false, err
		}
		d.store.put("servers/foreign", string(entry))
		d.record.add("another writer: servers/foreign %s", entry)
	}
	time.Sleep(2 * time.Second)
	broken := false
	for i := range foreignOrders {
		host := d.frontends[i%len(d.frontends)]
		c, err := dial(host.address)
		if err != nil {
			return false, err
		}
		id := fmt.Sprintf("order%d", i)
		a := c.send(id, "/order/short", "", "pay", orderDeadline)
		c.conn.Close()
		ran := d.printed("foreign: runs " + id)
		d.record.add("client: %s to %s: %s; run by the foreign server: %v", id, host.name, a, ran)
		broken = broken || ran
		time.Sleep(foreignGap)
	}
	return broken, nil
}
