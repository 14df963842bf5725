// Package fakeservice owns a stand-in for a plain service that counts the
// executions of each request, so that tests can tell one from two. It does not
// own what a caller makes of its answers.
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

// The states that a status query answers.
const (
	StateDone   = "Done"
	StateAbsent = "Absent"
)

// Request is one request as the service read it.
type Request struct {
	// Key is the Idempotency-Key header, else the Wigeonstand-Key header, else
	// the Key field of a JSON body, else empty.
	Key    string
	Method string
	Path   string
	Body   string
}

// Execution counts how often one request was executed.
type Execution struct {
	Key    string
	Method string
	Path   string
	// Digest names the body.
	Digest string
	Count  int
}

// CountsPage is the body of GET /counts.
type CountsPage struct {
	// Received counts requests read, Executed those executed.
	Received int
	Executed int
	// Repeated counts requests answered from an earlier execution.
	Repeated int
	// AfterLeaving counts requests that arrived while the service was leaving.
	AfterLeaving int
	Executions   []Execution
}

// Status is the body of GET /status, sent with 404 while the key is absent.
type Status struct {
	State string
	// Echo is the recorded answer once the state is Done.
	*Echo
}

// Echo is the answer to an executed request.
type Echo struct {
	Key    string
	Method string
	Path   string
	Body   string
	// Execution is the number of the execution among all, from 1.
	Execution int
}

// Service counts executions. It is safe for concurrent use.
type Service struct {
	name         string
	deduplicates bool
	log          *logger.Logger

	mu       sync.Mutex
	faults   Faults
	received int
	executed int
	repeated int
	running  int
	leaving  bool
	// afterLeaving counts requests that arrived while leaving.
	afterLeaving int
	executions   map[executionKey]*Execution
	answers      map[string]Echo
}

// executionKey tells requests apart.
type executionKey struct{ key, method, path, digest string }

// Option sets one property of a Service.
type Option func(*Service)

// WithDeduplication makes the service execute a repeated key once and answer
// the first answer again.
func WithDeduplication() Option {
	return func(s *Service) { s.deduplicates = true }
}

// WithFaults sets the faults that the service starts with.
func WithFaults(faults Faults) Option {
	return func(s *Service) { s.faults = faults }
}

// WithLogger sets where the service logs; it logs nothing by default.
func WithLogger(log *logger.Logger) Option {
	return func(s *Service) { s.log = log }
}

// New returns a Service without executions.
func New(name string, options ...Option) *Service {
	s := &Service{
		name:       name,
		log:        logger.Discard(),
		executions: map[executionKey]*Execution{},
		answers:    map[string]Echo{},
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// Load reports the requests that are being executed.
func (s *Service) Load() generator.LoadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return generator.LoadReport{Endpoint: s.name, Running: s.running, Leaving: s.leaving}
}

// finish takes out a request that receive let in.
func (s *Service) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// Execute runs the request and returns its answer.
func (s *Service) Execute(request Request) Echo {
	s.mu.Lock()
	defer s.mu.Unlock()
	if echo, ok := s.answers[request.Key]; ok && s.deduplicates && request.Key != "" {
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
		s.answers[request.Key] = echo
	}
	return echo
}

// count counts one execution of the request. The lock is held.
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

// receive counts a request that was read and says whether it may be executed.
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

// SetLeaving sets whether the service has been told to stop; it then refuses
// new requests.
func (s *Service) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
	s.log.Log(LeavingSet, "Service", s.name, "Leaving", leaving)
}

// Status says whether a request with the key has been executed.
func (s *Service) Status(key string) Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	if echo, ok := s.answers[key]; ok {
		return Status{State: StateDone, Echo: &echo}
	}
	return Status{State: StateAbsent}
}

// Counts returns the counters so far, ordered by path, then key.
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

// bodyKey returns the Key field of a JSON object, or "".
func bodyKey(body []byte) string {
	var keyed struct{ Key string }
	if json.Unmarshal(body, &keyed) != nil {
		return ""
	}
	return keyed.Key
}
