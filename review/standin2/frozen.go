package main

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// frozenFor is how long the entry host stands still, less than the gap after which clients
	// leave (four times the objective of 800 ms). frozenBefore is the time from its stop to
	// the crash of the replica, and frozenDown that to the replica's next start.
	frozenFor    = 2500 * time.Millisecond
	frozenBefore = 300 * time.Millisecond
	frozenDown   = time.Second
	frozenCalls  = 8
)

// runFrozen freezes an entry host. Meanwhile a replica crashes under streams and starts again at
// its address, under its id. Without trouble the replica does not crash.
func runFrozen(d *deployment, trouble bool) (broken bool, err error) {
	if err := d.startHosts(streamConfig, 1); err != nil {
		return false, err
	}
	said := func(line string) { d.note("replica: %s", line) }
	l, err := listenLoopback()
	if err != nil {
		return false, err
	}
	address := l.Addr().String()
	l.Close()
	arguments := []string{"-id", "i-1", "-listen", address, "-pieces", "60", "-gap", "100ms"}
	p, err := d.startReplica(said, arguments...)
	if err != nil {
		return false, err
	}
	if !d.awaitKey("servers/i-1") {
		return false, errors.New("the replica is not registered")
	}
	time.Sleep(3 * time.Second) // contact_ms
	answers := make([]*answer, frozenCalls)
	var streams sync.WaitGroup
	for i := range answers {
		streams.Go(func() {
			id := fmt.Sprintf("attempt-%d", i+1)
			d.note("client: sends %s", id)
			a := send(d.hosts[0], "POST", "/chat/1", id, "X-Model: m\r\nX-Token-Count: 200,80\r\nX-Prefix-Hash: 5c1e07a2:100,"+fmt.Sprintf("%x", 1000+i)+":100\r\n", "prompt", 8*time.Second)
			answers[i] = a
			d.note("client: %s got %d with seal %q, %d events of 60, ended as whole: %t, error: %v", id, a.status, a.seal, a.events(), a.whole, a.err)
		})
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	d.note("the entry host stands still (SIGSTOP)")
	d.hosts[0].process.signal(syscall.SIGSTOP)
	time.Sleep(frozenBefore)
	if trouble {
		d.note("the replica crashes (SIGKILL)")
		p.signal(syscall.SIGKILL)
		time.Sleep(frozenDown)
		if _, err := d.startReplica(said, arguments...); err != nil {
			return false, err
		}
		d.note("the replica starts again")
		time.Sleep(frozenFor - frozenBefore - frozenDown)
	} else {
		time.Sleep(frozenFor - frozenBefore)
	}
	d.note("the entry host goes on (SIGCONT)")
	d.hosts[0].process.signal(syscall.SIGCONT)
	streams.Wait()
	for _, a := range answers {
		if a.status == 200 && a.whole && a.events() < 60 {
			d.note("MIXED, ORDER: %s ended as complete after %d of 60 events; the last is %q", a.id, a.events(), lastLine(a.body))
			broken = true
		}
	}
	return broken, nil
}
