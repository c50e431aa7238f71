package rpc

import (
	"runtime"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// idleSessionCount is the number of sessions of BenchmarkIdleSessions.
const idleSessionCount = 300

// BenchmarkIdleSessions reports the memory and CPU time of one idle session
// without TLS, both ends together, at the default heartbeat.
func BenchmarkIdleSessions(b *testing.B) {
	address := startAgent(b, &fakeAgent{})
	memoryBefore := memoryInUse()
	for range idleSessionCount {
		openSession(b, address, Options{}, &Stats{})
	}
	time.Sleep(time.Second)
	sessionBytes := memoryInUse() - memoryBefore
	cpuStart, start := cpuTime(), time.Now()
	for b.Loop() {
		time.Sleep(2 * time.Second)
	}
	b.ReportMetric(float64((cpuTime()-cpuStart).Microseconds())/time.Since(start).Seconds()/idleSessionCount, "cpu-us/s/session")
	b.ReportMetric(float64(sessionBytes)/idleSessionCount, "B/session")
}

func memoryInUse() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

func cpuTime() time.Duration {
	var usage unix.Rusage
	_ = unix.Getrusage(unix.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
