package main

import (
	"syscall"
	"time"
)

const (
	frozenPieces = 60
	frozenGap    = 100 * time.Millisecond
	// frozenFor is how long the entry host stands still, less than the gap after which clients
	// leave (four times the objective of 800 ms). frozenBefore is the time from its stop to the
	// crash of the replica, and frozenDown that to the replica's next start.
	frozenFor     = 2500 * time.Millisecond
	frozenBefore  = 300 * time.Millisecond
	frozenDown    = time.Second
	frozenStreams = 90
	frozenPause   = 20 * time.Millisecond
)

// runFrozen freezes an entry host. Meanwhile a replica crashes under streams and starts again at
// its address, under its id. Without trouble the replica does not crash.
func runFrozen(d *deployment, trouble bool) (broken bool, err error) {
	if err := d.startHosts(streamConfig, 3); err != nil {
		return false, err
	}
	victim, arguments, err := d.startEngines(frozenPieces, frozenGap)
	if err != nil {
		return false, err
	}
	time.Sleep(contact)
	host := d.hosts[0]
	wait := d.sendStreams([]*entryHost{host}, frozenStreams, frozenPieces, frozenPause)
	d.note("%s stands still (SIGSTOP)", host.name)
	host.process.signal(syscall.SIGSTOP)
	time.Sleep(frozenBefore)
	if trouble {
		d.note("i-1 crashes (SIGKILL)")
		victim.signal(syscall.SIGKILL)
		time.Sleep(frozenDown)
		if _, err := d.startReplica(func(line string) { d.note("i-1: %s", line) }, arguments...); err != nil {
			return false, err
		}
		d.note("i-1 starts again")
		time.Sleep(frozenFor - frozenBefore - frozenDown)
	} else {
		time.Sleep(frozenFor - frozenBefore)
	}
	d.note("%s goes on (SIGCONT)", host.name)
	host.process.signal(syscall.SIGCONT)
	return d.judgeStreams(wait(), frozenPieces)
}
