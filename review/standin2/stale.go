package main

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

const (
	// staleCycles is how often the store turns the host away.
	staleCycles = 7
	// staleReads is the number of reads of the configuration without an answer after which
	// the store answers the host again.
	staleReads = 4
	// contact, applyBound and turnedAwayMost are contact_ms, config_apply_ms and the largest
	// for_s of the site file.
	contact        = 3 * time.Second
	applyBound     = 2 * time.Second
	turnedAwayMost = 9 * time.Second
	// margin covers what clients see late.
	margin = 30 * time.Millisecond
)

// movedConfig is a configuration whose public route leads to a service.
func movedConfig(version int, service string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-1","host":"a.example","prefix":"/status/","route_kind":"idempotent","timeout_ms":800,
"target_latency_ms":300,"priority":2,"service":%q,"max_attempts":2,"public":true,"session_affinity":false,"resumable":false}],
"services":[{"name":"svc-a","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false},{"name":"svc-b","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"t-1","api_keys":["key-1"],"unit":"generate","plain_tokens":200,"rate_per_s":237028,"burst":237028}]}`, version, service)
}

// runStale lets the store turn one host away for some seconds, while a configuration moves a
// route. Once the store has answered the host again for contact_ms, no request that it takes
// may run at the old service. Without trouble the store answers it all the while.
func runStale(d *deployment, trouble bool) (broken bool, err error) {
	services := []string{"svc-a", "svc-b"}
	if err := d.startHosts(movedConfig(7, services[0]), 3); err != nil {
		return false, err
	}
	for _, service := range services {
		id := "i-" + service
		if _, err := d.startReplica(func(line string) { d.note("%s: %s", id, line) }, "-id", id, "-service", service, "-stage", "", "-plain"); err != nil {
			return false, err
		}
		if !d.awaitKey("servers/" + id) {
			return false, errors.New("a replica is not registered")
		}
	}
	h := d.hosts[2] // the first two hosts by name watch the store for all
	for cycle := 1; cycle <= staleCycles; cycle++ {
		time.Sleep(contact + time.Second)
		old, next := services[(cycle+1)%2], services[cycle%2]
		if a := d.ask(h); a.status != 200 || serviceOf(a) != old {
			return broken, fmt.Errorf("%s answers %d by %q before cycle %d", h.name, a.status, serviceOf(a), cycle)
		}
		for len(h.gate.configReads) > 0 {
			<-h.gate.configReads
		}
		began := time.Now()
		h.gate.set(trouble)
		time.Sleep(500 * time.Millisecond)
		d.store.put("op/config", []byte(movedConfig(7+3*cycle, next)))
		acked := time.Now()
		d.note("cycle %d: the store turns %s away: %t; the configuration moves the route from %s to %s", cycle, h.name, trouble, old, next)
		healed := acked
		if trouble {
			for range staleReads {
				select {
				case <-h.gate.configReads:
					d.note("cycle %d: %s reads the configuration and gets no answer", cycle, h.name)
				case <-time.After(turnedAwayMost):
					return broken, errors.New("the host does not read the configuration")
				}
			}
			h.gate.set(false)
			healed = time.Now()
			d.note("cycle %d: the store answers %s again after %.2f s", cycle, h.name, healed.Sub(began).Seconds())
			if healed.Sub(began) > turnedAwayMost {
				return broken, errors.New("the host was turned away for too long")
			}
		}
		from := healed.Add(contact + margin)
		if bound := acked.Add(applyBound + margin); bound.After(from) {
			from = bound
		}
		time.Sleep(time.Until(from))
		stale, asked := 0, 0
		var last time.Duration
		for time.Since(from) < 700*time.Millisecond {
			a := d.ask(h)
			asked++
			if a.status == 200 && serviceOf(a) == old {
				stale++
				last = a.sent.Sub(healed)
			}
			time.Sleep(10 * time.Millisecond)
		}
		d.note("cycle %d: of %d requests from %.2f s after the return on, %d ran at %s", cycle, asked, from.Sub(healed).Seconds(), stale, old)
		if stale > 0 {
			d.note("CONFIG: cycle %d: a request sent %.2f s after the acknowledgement, %.2f s after the return, ran at the old service", cycle, healed.Add(last).Sub(acked).Seconds(), last.Seconds())
			broken = true
		}
	}
	return broken, nil
}

// ask sends a request to a host.
func (d *deployment) ask(h *entryHost) *answer {
	d.mu.Lock()
	d.asked++
	id := fmt.Sprintf("ask-%d", d.asked)
	d.mu.Unlock()
	a := send(h, "GET", "/status/1", id, "", "", 1500*time.Millisecond)
	d.note("client: sent %s to %s at %.3f s, got %d from %q, error: %v", id, h.name, a.sent.Sub(d.began).Seconds(), a.status, serviceOf(a), a.err)
	return a
}

// serviceOf returns the service whose replica answered.
func serviceOf(a *answer) string {
	_, service, _ := strings.Cut(string(a.body), "served by ")
	return service
}
