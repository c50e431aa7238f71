package rpc

import (
	"runtime"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// slopeSessions is the number of sessions of BenchmarkIdleSessions.
const slopeSessions = 300

// BenchmarkIdleSessions reports the memory and the processor time of one idle
// session without TLS, both ends together, with the default heartbeat.
func BenchmarkIdleSessions(b *testing.B) {
	address := startAgent(b, &fakeAgent{})
	before := memory()
	for range slopeSessions {
		openSession(b, address, Options{}, &Stats{})
	}
	time.Sleep(time.Second)
	held := memory() - before
	begun, at := cpuTime(), time.Now()
	for b.Loop() {
		time.Sleep(2 * time.Second)
	}
	b.ReportMetric(float64((cpuTime()-begun).Microseconds())/time.Since(at).Seconds()/slopeSessions, "cpu-us/s/session")
	b.ReportMetric(float64(held)/slopeSessions, "B/session")
}

func memory() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

func cpuTime() time.Duration {
	var u unix.Rusage
	_ = unix.Getrusage(unix.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
