package rpc

import (
	"context"
	"testing"
)

// BenchmarkSessionTokens measures one streamed token from agent to reader.
func BenchmarkSessionTokens(b *testing.B) {
	s := openSession(b, startAgent(b, &fakeAgent{}), Options{MailboxBytes: 1 << 30}, &Stats{})
	b.ReportAllocs()
	call, err := s.Open("r", generate(int32(b.N)))
	if err != nil {
		b.Fatal(err)
	}
	if _, err := collect(context.Background(), call); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkSessionRequests measures one short request and its answer.
func BenchmarkSessionRequests(b *testing.B) {
	s := openSession(b, startAgent(b, &fakeAgent{}), Options{}, &Stats{})
	b.ReportAllocs()
	for b.Loop() {
		call, err := s.Open("r", generate(1))
		if err != nil {
			b.Fatal(err)
		}
		if _, err := collect(context.Background(), call); err != nil {
			b.Fatal(err)
		}
	}
}
