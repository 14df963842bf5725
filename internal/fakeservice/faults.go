package fakeservice

import "time"

// Faults configures the faults that are injected into requests.
type Faults struct {
	// Refuse responds with 503 without executing the request.
	Refuse bool
	// Fail responds with 500 after executing the request.
	Fail bool
	// CloseBefore closes the connection after reading the request, without
	// executing it; CloseAfter closes it after the execution.
	CloseBefore bool
	CloseAfter  bool
	// HangBefore reads the request and neither executes it nor responds;
	// HangAfter executes it and does not respond.
	HangBefore bool
	HangAfter  bool
	// Delay is the time before a request is executed. The request is executed
	// even if the client disconnects during the delay.
	Delay time.Duration
	// Times is the number of requests that the faults apply to; zero means no
	// limit.
	Times int
}

// SetFaults replaces the faults for subsequent requests.
func (s *Service) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.log.Log(FaultsSet, "Service", s.name, "Faults", faults)
}

// Faults returns the current faults.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// consumeFaults returns the faults for one request and decrements Times. The
// request that decrements it to zero clears the faults.
func (s *Service) consumeFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	faults := s.faults
	if faults.Times == 0 {
		return faults
	}
	s.faults.Times--
	if s.faults.Times == 0 {
		s.faults = Faults{}
	}
	return faults
}
