package main

import (
	"strings"
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
	spotStreams = 90
	spotPause   = 20 * time.Millisecond
)

// runSpot takes a model replica away that has reported that it drains: it is gone two
// seconds after the notice, while streams that began before the notice go on. Without
// trouble it leaves after its last answer.
func runSpot(d *deployment, trouble bool) (broken bool, err error) {
	if err := d.startHosts(streamConfig, 3); err != nil {
		return false, err
	}
	victim, _, err := d.startEngines(spotPieces, spotGap)
	if err != nil {
		return false, err
	}
	time.Sleep(contact)
	wait := d.sendStreams(d.hosts, spotStreams, spotPieces, spotPause)
	if trouble {
		victim.signal(syscall.SIGUSR1)
		time.Sleep(spotNotice)
		d.note("i-1 is taken away (SIGKILL)")
		victim.signal(syscall.SIGKILL)
	} else {
		victim.signal(syscall.SIGTERM)
	}
	return d.judgeStreams(wait(), spotPieces)
}

func lastLine(body []byte) string {
	lines := strings.Split(strings.TrimSpace(string(body)), "\n")
	return lines[len(lines)-1]
}
