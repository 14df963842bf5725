// Package fakeservice implements a fake HTTP service that counts the executions
// of each request, so that tests can detect repeated executions. It can inject
// faults before and after an execution.
package fakeservice

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonstand/wigeonstand/internal/generator"
	"github.com/wigeonstand/wigeonstand/internal/logger"
)

// The values of Status.State.
const (
	StateDone   = "Done"
	StateAbsent = "Absent"
)

// Request is a request to execute.
type Request struct {
	// Key is the first non-empty value of the Idempotency-Key header, the
	// Wigeonstand-Key header and the Key field of a JSON body.
	Key    string
	Method string
	Path   string
	Body   string
}

// Execution is the number of executions of one request.
type Execution struct {
	Key    string
	Method string
	Path   string
	// Digest is the base-36 XXH64 hash of the body.
	Digest string
	Count  int
}

// CountsPage is the body of GET /counts.
type CountsPage struct {
	// Received counts the requests read, including those not executed.
	Received int
	Executed int
	// Repeated counts the requests that got the response of an earlier
	// execution.
	Repeated int
	// AfterLeaving counts the requests refused while the service was leaving.
	AfterLeaving int
	Executions   []Execution
}

// Status is the body of GET /status. The HTTP status is 404 if State is
// StateAbsent.
type Status struct {
	State string
	// Echo is the recorded response; it is nil unless State is StateDone.
	*Echo
}

// Echo is the response to an executed request.
type Echo struct {
	Key    string
	Method string
	Path   string
	Body   string
	// Execution is the sequence number of the execution, starting at 1.
	Execution int
}

// Service executes requests and counts the executions. It is safe for
// concurrent use.
type Service struct {
	name         string
	deduplicates bool
	log          *logger.Logger

	mu           sync.Mutex
	faults       Faults
	received     int
	executed     int
	repeated     int
	running      int
	leaving      bool
	afterLeaving int
	executions   map[executionKey]*Execution
	responses    map[string]Echo
}

// executionKey identifies a request in the counts.
type executionKey struct{ key, method, path, digest string }

// Option sets one property of a Service.
type Option func(*Service)

// WithDeduplication makes the service execute each key once and repeat the
// recorded response for later requests with that key.
func WithDeduplication() Option {
	return func(s *Service) { s.deduplicates = true }
}

// WithFaults sets the initial faults.
func WithFaults(faults Faults) Option {
	return func(s *Service) { s.faults = faults }
}

// WithLogger sets the logger. By default, log events are discarded.
func WithLogger(log *logger.Logger) Option {
	return func(s *Service) { s.log = log }
}

// New returns a Service. The name is the endpoint in its load report.
func New(name string, options ...Option) *Service {
	s := &Service{
		name:       name,
		log:        logger.Discard(),
		executions: map[executionKey]*Execution{},
		responses:  map[string]Echo{},
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// Load returns the load report, which counts the requests in progress.
func (s *Service) Load() generator.LoadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return generator.LoadReport{Endpoint: s.name, Running: s.running, Leaving: s.leaving}
}

// finish marks a request as finished for which receive returned true.
func (s *Service) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// Execute executes the request and returns the response.
func (s *Service) Execute(request Request) Echo {
	s.mu.Lock()
	defer s.mu.Unlock()
	if echo, ok := s.responses[request.Key]; ok && s.deduplicates && request.Key != "" {
		s.repeated++
		return echo
	}
	s.executed++
	s.count(request)
	echo := Echo{
		Key:       request.Key,
		Method:    request.Method,
		Path:      request.Path,
		Body:      request.Body,
		Execution: s.executed,
	}
	if request.Key != "" {
		s.responses[request.Key] = echo
	}
	return echo
}

// count counts one execution of the request. The caller holds s.mu.
func (s *Service) count(request Request) {
	id := executionKey{request.Key, request.Method, request.Path, digest(request.Body)}
	if s.executions[id] == nil {
		s.executions[id] = &Execution{Key: id.key, Method: id.method, Path: id.path, Digest: id.digest}
	}
	s.executions[id].Count++
}

func digest(body string) string {
	return strconv.FormatUint(xxhash.Sum64String(body), 36)
}

// receive counts a request and reports whether it may be executed. If it may,
// the caller must call finish.
func (s *Service) receive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received++
	if s.leaving {
		s.afterLeaving++
		return false
	}
	s.running++
	return true
}

// SetLeaving sets whether the service is leaving. While it is leaving, it
// refuses new requests.
func (s *Service) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
	s.log.Log(LeavingSet, "Service", s.name, "Leaving", leaving)
}

// Status reports whether a request with the key has been executed.
func (s *Service) Status(key string) Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	if echo, ok := s.responses[key]; ok {
		return Status{State: StateDone, Echo: &echo}
	}
	return Status{State: StateAbsent}
}

// Counts returns the current counters, with the executions sorted by path, key,
// method and digest.
func (s *Service) Counts() CountsPage {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := CountsPage{
		Received:     s.received,
		Executed:     s.executed,
		Repeated:     s.repeated,
		AfterLeaving: s.afterLeaving,
		Executions:   make([]Execution, 0, len(s.executions)),
	}
	for _, e := range s.executions {
		page.Executions = append(page.Executions, *e)
	}
	slices.SortFunc(page.Executions, compareExecutions)
	return page
}

func compareExecutions(a, b Execution) int {
	return strings.Compare(a.sortKey(), b.sortKey())
}

func (e Execution) sortKey() string {
	return strings.Join([]string{e.Path, e.Key, e.Method, e.Digest}, "\x00")
}

// bodyKey returns the Key field of a JSON object, or the empty string if the body
// is not a JSON object with a string of that name.
func bodyKey(body []byte) string {
	var keyed struct{ Key string }
	if json.Unmarshal(body, &keyed) != nil {
		return ""
	}
	return keyed.Key
}
