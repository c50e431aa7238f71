package main

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

const streamConfig = `{"version":7,"routes":[{"name":"r-1","host":"a.example","prefix":"/chat/","route_kind":"streaming","timeout_ms":8000,
"target_latency_ms":800,"priority":0,"service":"llm","max_attempts":1,"public":false,"session_affinity":true,"resumable":false,"target_gap_ms":200}],
"services":[{"name":"llm","health_path":"/healthz","max_conns":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_capacity_tokens":510442,
"kv_token_bytes":163840,"link_mbps":1400000.0,"moves":true,"backups":true,"stride":11,"most":12,"kv_hold_s":5.0,"stage_switch_s":3.0,"models":[{"name":"m"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"t-1","api_keys":["key-1"],"unit":"generate","plain_tokens":200,"rate_per_s":237028,"burst":237028}]}`

const (
	spotPieces = 40
	spotGap    = 100 * time.Millisecond
	// spotNotice is the time from the notice of a replica that is taken away to its end.
	spotNotice = 2 * time.Second
	// spotStreams streams begin before the notice, one each spotPause.
	spotStreams = 15
	spotPause   = 100 * time.Millisecond
)

// runSpot takes a model replica away that has reported that it drains: it is gone two
// seconds after the notice, while streams that began before the notice go on. Without
// trouble it leaves after its last answer.
func runSpot(d *deployment, trouble bool) (broken bool, err error) {
	if err := d.startHosts(streamConfig, 3); err != nil {
		return false, err
	}
	said := func(line string) { d.note("replica: %s", line) }
	p, err := d.startReplica(said, "-id", "i-1", "-pieces", fmt.Sprint(spotPieces), "-gap", spotGap.String())
	if err != nil {
		return false, err
	}
	if !d.awaitKey("servers/i-1") {
		return false, errors.New("the replica is not registered")
	}
	time.Sleep(3 * time.Second) // contact_ms
	answers := make([]*answer, spotStreams)
	var streams sync.WaitGroup
	for i := range answers {
		streams.Go(func() {
			id := fmt.Sprintf("attempt-%d", i+1)
			d.note("client: sends %s to %s", id, d.hosts[i%len(d.hosts)].name)
			answers[i] = send(d.hosts[i%len(d.hosts)], "POST", "/chat/1", id, "X-Model: m\r\nX-Token-Count: 200,60\r\nX-Prefix-Hash: 5c1e07a2:100,"+fmt.Sprintf("%x", 1000+i)+":100\r\n", "prompt", 8*time.Second)
			a := answers[i]
			d.note("client: %s got %d with seal %q, %d events of %d, ended as whole: %t, error: %v", id, a.status, a.seal, a.events(), spotPieces, a.whole, a.err)
		})
		time.Sleep(spotPause)
	}
	if trouble {
		p.signal(syscall.SIGUSR1)
		time.Sleep(spotNotice)
		d.note("the replica is taken away (SIGKILL)")
		p.signal(syscall.SIGKILL)
	} else {
		p.signal(syscall.SIGTERM)
	}
	streams.Wait()
	served := 0
	for _, a := range answers {
		if a.status == 200 {
			served++
		}
		if a.status == 200 && a.whole && a.events() < spotPieces {
			d.note("MIXED, ORDER: %s ended as complete after %d of %d events; the last is %q", a.id, a.events(), spotPieces, lastLine(a.body))
			broken = true
		}
	}
	if served < spotStreams/2 {
		return false, fmt.Errorf("only %d of %d streams were served", served, spotStreams)
	}
	return broken, nil
}

func lastLine(body []byte) string {
	lines := strings.Split(strings.TrimSpace(string(body)), "\n")
	return lines[len(lines)-1]
}
