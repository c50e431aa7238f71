package service

import (
	"strings"
	"time"
)

// FaultKind names what goes wrong with a call.
type FaultKind string

// The kinds of faults. "Before" and "after" speak of the run of the call.
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

// Fault is the fault switch, as PUT /faults takes it.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// DelayMillis is how long the slow kinds wait.
	DelayMillis int64 `json:"delay_ms,omitempty"`
	// Status is what the status kinds answer.
	Status int `json:"status,omitempty"`
	// Next limits the fault to so many calls; zero means all.
	Next int `json:"next,omitempty"`
	// PathPrefix limits the fault to calls of paths with the prefix.
	PathPrefix string `json:"path_prefix,omitempty"`
}

func (f Fault) delay() time.Duration { return time.Duration(f.DelayMillis) * time.Millisecond }

// SetFault replaces the fault.
func (s *Service) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Fault returns the fault in force.
func (s *Service) Fault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// nextFault returns the fault for a call and counts it off.
func (s *Service) nextFault(path string) Fault {
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
