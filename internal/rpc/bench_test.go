package rpc

import (
	"context"
	"testing"
)

// BenchmarkSessionTokens measures the delivery of one streamed token from the
// agent to the caller.
func BenchmarkSessionTokens(b *testing.B) {
	s := openSession(b, startAgent(b, &fakeAgent{}), Options{MaxMailboxBytes: 1 << 30}, &Stats{})
	b.ReportAllocs()
	call, err := s.Open("r", generateRequest(int32(b.N)))
	if err != nil {
		b.Fatal(err)
	}
	if _, err := collectTokens(context.Background(), call); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkSessionRequests measures one short request with its answer.
func BenchmarkSessionRequests(b *testing.B) {
	s := openSession(b, startAgent(b, &fakeAgent{}), Options{}, &Stats{})
	b.ReportAllocs()
	for b.Loop() {
		call, err := s.Open("r", generateRequest(1))
		if err != nil {
			b.Fatal(err)
		}
		if _, err := collectTokens(context.Background(), call); err != nil {
			b.Fatal(err)
		}
	}
}
