package service

import (
	"strings"
	"time"
)

// FaultKind is the kind of fault injected into a call.
type FaultKind string

// The kinds of faults. "Before" and "after" refer to the execution of the call:
// after a "before" fault that ends the call, the call was not executed.
const (
	FaultNone          FaultKind = ""
	FaultHangBefore    FaultKind = "hang-before"
	FaultHangAfter     FaultKind = "hang-after"
	FaultCloseBefore   FaultKind = "close-before"
	FaultCloseAfter    FaultKind = "close-after"
	FaultCloseMidBody  FaultKind = "close-mid-body"
	FaultSlowBefore    FaultKind = "slow-before"
	FaultSlowAfter     FaultKind = "slow-after"
	FaultStatusNoRun   FaultKind = "status-no-run"
	FaultStatusWithRun FaultKind = "status-with-run"
)

// Fault is the fault configuration of a service and the body of PUT /faults.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// DelayMillis is the delay of the slow kinds, in milliseconds.
	DelayMillis int64 `json:"delay_ms,omitempty"`
	// Status is the HTTP status with which the status kinds respond.
	Status int `json:"status,omitempty"`
	// Next is the number of calls that the fault applies to; zero means all.
	Next int `json:"next,omitempty"`
	// PathPrefix restricts the fault to calls whose path starts with it.
	PathPrefix string `json:"path_prefix,omitempty"`
}

func (f Fault) delay() time.Duration { return time.Duration(f.DelayMillis) * time.Millisecond }

// SetFault replaces the current fault.
func (s *Service) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Fault returns the current fault.
func (s *Service) Fault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// takeFault returns the fault to inject into a call on path and decrements
// Fault.Next; after the last call it clears the fault.
func (s *Service) takeFault(path string) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.fault
	if f.Kind == FaultNone || !strings.HasPrefix(path, f.PathPrefix) {
		return Fault{}
	}
	if f.Next > 0 {
		s.fault.Next--
		if s.fault.Next == 0 {
			s.fault = Fault{}
		}
	}
	return f
}
