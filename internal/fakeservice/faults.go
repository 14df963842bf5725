package fakeservice

import "time"

// Faults sets how the service fails from now on.
type Faults struct {
	// Refuse answers 503 without executing.
	Refuse bool
	// Fail answers 500 after executing.
	Fail bool
	// CloseBefore reads the request and closes the connection without
	// executing, CloseAfter does so after executing.
	CloseBefore bool
	CloseAfter  bool
	// HangBefore reads the request and never answers without executing,
	// HangAfter does so after executing.
	HangBefore bool
	HangAfter  bool
	// Delay passes before a request is executed, also if the caller leaves.
	Delay time.Duration
	// Times bounds the requests that are struck; zero means no bound.
	Times int
}

// SetFaults sets how the service fails from now on.
func (s *Service) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.log.Log(FaultsSet, "Service", s.name, "Faults", faults)
}

// Faults returns the faults in force.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// consumeFaults returns the faults for one request and counts it against Times.
func (s *Service) consumeFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := s.faults
	if taken.Times == 0 {
		return taken
	}
	s.faults.Times--
	if s.faults.Times == 0 {
		s.faults = Faults{}
	}
	return taken
}
